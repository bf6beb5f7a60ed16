package aggregator

import (
	"errors"
	"io"
	"testing"
)

func TestAttemptError_SaysWhereHowFarAndWhy(t *testing.T) {
	for want, err := range map[string]*AttemptError{
		"not connected":                      {},
		"written: EOF":                       {Progress: Written, Cause: io.EOF},
		"s:1: partly written":                {Server: "s:1", Progress: PartlyWritten},
		"part q.1: canceled, not connected":  {Part: "q.1", Canceled: true},
		"part q.1 to s:1: canceled, written": {Part: "q.1", Server: "s:1", Progress: Written, Canceled: true},
		"part q.1 to s:1: rejected: it is draining": {
			Part:     "q.1",
			Server:   "s:1",
			Progress: Answered,
			Rejected: true,
			Cause:    errors.New("it is draining"),
		},
	} {
		if got := err.Error(); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
	if err := (&AttemptError{Progress: Written, Cause: io.EOF}); !errors.Is(err, io.EOF) {
		t.Errorf("%v does not unwrap to its cause", err)
	}
}
