package app

import (
	"fmt"
	"io"
	"log/slog"
)

// Logger returns a logger that writes one event per line to w. format is text or json; events below level (debug, info,
// warn or error) are dropped.
func Logger(w io.Writer, format, level string) (*slog.Logger, error) {
	var minLevel slog.Level
	if err := minLevel.UnmarshalText([]byte(level)); err != nil {
		return nil, fmt.Errorf("log level %q must be debug, info, warn or error", level)
	}
	options := &slog.HandlerOptions{Level: minLevel}
	switch format {
	case "text":
		return slog.New(slog.NewTextHandler(w, options)), nil
	case "json":
		return slog.New(slog.NewJSONHandler(w, options)), nil
	}
	return nil, fmt.Errorf("log format %q must be text or json", format)
}
