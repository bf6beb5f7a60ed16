package app

import (
	"fmt"
	"io"
	"log/slog"
)

// Logger returns a logger of one event a line, as text or json, from a level on.
func Logger(w io.Writer, format, level string) (*slog.Logger, error) {
	var l slog.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		return nil, fmt.Errorf("log level %q: debug, info, warn or error", level)
	}
	opt := &slog.HandlerOptions{Level: l}
	switch format {
	case "text":
		return slog.New(slog.NewTextHandler(w, opt)), nil
	case "json":
		return slog.New(slog.NewJSONHandler(w, opt)), nil
	}
	return nil, fmt.Errorf("log format %q: text or json", format)
}
