package main

import "testing"

// Scripts that use a subcommand's earlier name go on working.
func TestRootCommand_EarlierNamesAreAccepted(t *testing.T) {
	for earlier, name := range map[string]string{"reshape": "resharding"} {
		command, _, err := rootCommand().Find([]string{earlier, "--for", "20s"})
		if err != nil {
			t.Errorf("%s: %v", earlier, err)
			continue
		}
		if command.Name() != name {
			t.Errorf("%s runs %q, not %q", earlier, command.Name(), name)
		}
		if !command.HasAlias(earlier) {
			t.Errorf("%s is no alias of %s", earlier, name)
		}
	}
}

// Each subcommand of the documentation is there.
func TestRootCommand_Subcommands(t *testing.T) {
	for _, name := range []string{"demo", "health", "resharding", "hunt", "load", "days"} {
		command, _, err := rootCommand().Find([]string{name})
		if err != nil || command.Name() != name {
			t.Errorf("%s: %v, %v", name, command.Name(), err)
		}
	}
}
