package grpchealthcmd

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Under its previous name the command has the same flags and defaults, and rejects the same arguments with the same
// errors.
func TestNew_FormerName_IsTheSameCommand(t *testing.T) {
	current, previous := New("grpchealth").Flags().FlagUsages(), New("rookgrpc").Flags().FlagUsages()
	if current != previous || strings.Count(current, "--") < 4 {
		t.Errorf("grpchealth has the flags\n%s\nand rookgrpc\n%s", current, previous)
	}
	for _, args := range [][]string{{}, {"--listen", "127.0.0.1:0"}, {"--bridge", "127.0.0.1:0", "--every", "1s"}, {"argument"}} {
		var texts [2]string
		for i, name := range []string{"grpchealth", "rookgrpc"} {
			c := New(name)
			c.SetArgs(args)
			err := c.Execute()
			if err == nil {
				t.Fatalf("%s %v was accepted", name, args)
			}
			texts[i] = strings.ReplaceAll(err.Error(), name, "NAME")
		}
		if texts[0] != texts[1] {
			t.Errorf("%v: %q, and under the previous name %q", args, texts[0], texts[1])
		}
	}
}

// Both programs run this command under their own name.
func TestPrograms_RunTheCommand(t *testing.T) {
	for _, name := range []string{"grpchealth", "rookgrpc"} {
		source, err := os.ReadFile(filepath.Join("..", "..", "..", "cmd", name, "main.go"))
		if err != nil {
			t.Fatal(err)
		}
		if want := "func main() { grpchealthcmd.Main(\"" + name + "\") }\n"; !strings.HasSuffix(string(source), want) {
			t.Errorf("cmd/%s does not end with %q", name, want)
		}
	}
}
