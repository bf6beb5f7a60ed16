// Package leakcheck detects goroutines that the tests of a package leak. Only tests import it.
package leakcheck

import (
	"testing"

	"go.uber.org/goleak"
)

// netpollPoller is the function of netpoll's pollers, which are started once and run until the process exits.
const netpollPoller = "github.com/cloudwego/netpoll.(*defaultPoll).Wait"

// Main runs the tests of a package and exits the process. It fails if goroutines other than netpoll's pollers remain.
// TestMain calls it.
func Main(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction(netpollPoller))
}
