// Package leakcheck detects goroutines that the tests of a package leak. Only tests import it.
package leakcheck

import (
	"testing"

	"go.uber.org/goleak"
)

// Main runs the tests of a package and exits the process. It fails if goroutines remain. TestMain calls it.
func Main(m *testing.M) { goleak.VerifyTestMain(m) }
