// Package admin encodes and decodes the operators' protocol: one call a connection, on one line, and one answer.
package admin

import (
	"errors"
	"fmt"
	"strings"
)

// MaxLine is the length of the longest call, in bytes, with its line end.
const MaxLine = 512

// Verb is what a call asks for.
type Verb string

// The verbs.
const (
	Ping   Verb = "PING"   // whether the process can serve
	Info   Verb = "INFO"   // its figures
	Detach Verb = "DETACH" // take a server out of service
	Attach Verb = "ATTACH" // put it back
)

// The first words of answers, and the last line of the figures.
const (
	done    = "done"
	failure = "error"
	end     = "end"
)

// Errors of a call.
var (
	ErrNoCommand      = errors.New("no call")
	ErrUnknownCommand = errors.New("unknown call")
	ErrArguments      = errors.New("wrong number of arguments")
	ErrNoServer       = errors.New("no server id")
)

// Command is a call. Server is set for Detach and Attach only.
type Command struct {
	Verb   Verb
	Server string
}

// Parse decodes a call's line, with or without its end.
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

// Done is the answer to a call that was carried out.
func Done() string { return done + "\n" }

// Failure is the answer to a call that was not. The reason stands on the same line.
func Failure(reason error) string {
	return failure + " " + strings.Join(strings.Fields(reason.Error()), " ") + "\n"
}

// Figure is one figure of the answer to Info.
type Figure struct {
	Name  string
	Value uint64
}

// Figures is the answer to Info.
func Figures(figures []Figure) string {
	var text strings.Builder
	for _, figure := range figures {
		fmt.Fprintf(&text, "%s=%d\n", figure.Name, figure.Value)
	}
	text.WriteString(end + "\n")
	return text.String()
}
