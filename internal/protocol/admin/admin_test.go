package admin

import (
	"errors"
	"strings"
	"testing"
)

func TestParse(t *testing.T) {
	for line, want := range map[string]Command{
		"PING\n":                {Verb: Ping},
		"INFO":                  {Verb: Info},
		"DETACH s-5be2a07c\r\n": {Verb: Detach, Server: "s-5be2a07c"},
		" ATTACH  s-1 \n":       {Verb: Attach, Server: "s-1"},
	} {
		if got, err := Parse(line); got != want || err != nil {
			t.Errorf("%q: %+v, %v", line, got, err)
		}
	}
	for line, want := range map[string]error{
		"":             ErrNoCommand,
		"\r\n":         ErrNoCommand,
		"ping":         ErrUnknownCommand,
		"\x00\xff":     ErrUnknownCommand,
		"PING now":     ErrArguments,
		"DETACH":       ErrNoServer,
		"ATTACH a b":   ErrArguments,
		"DETACH\ta\tb": ErrArguments,
	} {
		if got, err := Parse(line); !errors.Is(err, want) || got != (Command{}) {
			t.Errorf("%q: %+v, %v; want %v", line, got, err, want)
		}
	}
}

func TestAnswers(t *testing.T) {
	if Done() != "done\n" || Failure(errors.New("no\nserver")) != "error no server\n" {
		t.Errorf("%q, %q", Done(), Failure(errors.New("no\nserver")))
	}
	text := Figures([]Figure{{"mixer.current", 14}, {"mixer.sends", 0}})
	if text != "mixer.current=14\nmixer.sends=0\nend\n" {
		t.Errorf("%q", text)
	}
}

// FuzzParse checks that every line is parsed to a valid command or leads to a one-line error response.
func FuzzParse(f *testing.F) {
	f.Add("DETACH s-1")
	f.Add("\x00 \n INFO")
	f.Fuzz(func(t *testing.T, line string) {
		command, err := Parse(line)
		if err != nil {
			response := Failure(err)
			if command != (Command{}) || strings.Count(response, "\n") != 1 || !strings.HasPrefix(response, "error ") {
				t.Errorf("%q: %+v, %q", line, command, response)
			}
			return
		}
		needsServer := command.Verb == Detach || command.Verb == Attach
		if needsServer != (command.Server != "") || strings.ContainsAny(command.Server, " \n") {
			t.Errorf("%q: %+v", line, command)
		}
	})
}
