package serialconn

import (
	"testing"

	"rooktrestle/internal/testbed/leakcheck"
)

func TestMain(m *testing.M) { leakcheck.Main(m) }
