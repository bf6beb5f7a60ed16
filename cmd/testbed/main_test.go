package main

import "testing"

// Scripts that use a previous name of a subcommand keep working.
func TestRootCommand_EarlierNamesAreAccepted(t *testing.T) {
	for previous, name := range map[string]string{"reshape": "resharding"} {
		command, _, err := rootCommand().Find([]string{previous, "--for", "20s"})
		if err != nil {
			t.Errorf("%s: %v", previous, err)
			continue
		}
		if command.Name() != name {
			t.Errorf("%s runs %q, not %q", previous, command.Name(), name)
		}
		if !command.HasAlias(previous) {
			t.Errorf("%s is not an alias of %s", previous, name)
		}
	}
}

// Each documented subcommand exists.
func TestRootCommand_Subcommands(t *testing.T) {
	for _, name := range []string{"demo", "health", "resharding", "hunt", "load", "days"} {
		command, _, err := rootCommand().Find([]string{name})
		if err != nil || command.Name() != name {
			t.Errorf("%s: %v, %v", name, command.Name(), err)
		}
	}
}
