// Package admin encodes and decodes the operators' protocol. A connection carries one command, on one line, and one
// response.
package admin

import (
	"errors"
	"fmt"
	"strings"
)

// MaxLine is the maximum length of a command line in bytes, including its line end.
const MaxLine = 512

// Verb is the first word of a command line.
type Verb string

// Verbs.
const (
	Ping   Verb = "PING"   // report whether the process can serve
	Info   Verb = "INFO"   // report the values of the process's metrics
	Detach Verb = "DETACH" // take a server out of service
	Attach Verb = "ATTACH" // put a server back into service
)

// First words of responses, and the last line of the response to Info.
const (
	done    = "done"
	failure = "error"
	end     = "end"
)

// Errors of Parse. Their texts are sent to operators.
var (
	ErrNoCommand      = errors.New("no call")
	ErrUnknownCommand = errors.New("unknown call")
	ErrArguments      = errors.New("wrong number of arguments")
	ErrNoServer       = errors.New("no server id")
)

// Command is a decoded command line. Server is set for Detach and Attach only.
type Command struct {
	Verb   Verb
	Server string
}

// Parse decodes a command line, with or without its line end.
func Parse(line string) (Command, error) {
	fields := strings.Fields(line)
	if len(fields) == 0 {
		return Command{}, ErrNoCommand
	}
	command := Command{Verb: Verb(fields[0])}
	arguments := fields[1:]
	switch command.Verb {
	case Ping, Info:
		if len(arguments) > 0 {
			return Command{}, ErrArguments
		}
	case Detach, Attach:
		if len(arguments) == 0 {
			return Command{}, ErrNoServer
		}
		if len(arguments) > 1 {
			return Command{}, ErrArguments
		}
		command.Server = arguments[0]
	default:
		return Command{}, fmt.Errorf("%w %.40q", ErrUnknownCommand, fields[0])
	}
	return command, nil
}

// Done returns the response to a command that succeeded.
func Done() string { return done + "\n" }

// Failure returns the response to a command that was rejected or failed, on one line with the reason.
func Failure(reason error) string {
	return failure + " " + strings.Join(strings.Fields(reason.Error()), " ") + "\n"
}

// Figure is one named value in the response to Info.
type Figure struct {
	Name  string
	Value uint64
}

// Figures returns the response to Info.
func Figures(figures []Figure) string {
	var text strings.Builder
	for _, figure := range figures {
		fmt.Fprintf(&text, "%s=%d\n", figure.Name, figure.Value)
	}
	text.WriteString(end + "\n")
	return text.String()
}
