package main

import "testing"

// Scripts that use a subcommand's earlier name go on working.
func TestRootCommand_EarlierNamesAreAccepted(t *testing.T) {
	for earlier, name := range map[string]string{"reshape": "resharding"} {
		c, _, err := rootCommand().Find([]string{earlier, "--for", "20s"})
		if err != nil {
			t.Errorf("%s: %v", earlier, err)
			continue
		}
		if c.Name() != name {
			t.Errorf("%s runs %q, not %q", earlier, c.Name(), name)
		}
		if !c.HasAlias(earlier) {
			t.Errorf("%s is no alias of %s", earlier, name)
		}
	}
}

// Each subcommand of the documentation is there.
func TestRootCommand_Subcommands(t *testing.T) {
	for _, name := range []string{"demo", "health", "resharding", "hunt", "load", "days"} {
		if c, _, err := rootCommand().Find([]string{name}); err != nil || c.Name() != name {
			t.Errorf("%s: %v, %v", name, c.Name(), err)
		}
	}
}
