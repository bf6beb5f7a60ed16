// Package leakcheck fails the tests of a package that leave goroutines behind. Only tests import it.
package leakcheck

import (
	"testing"

	"go.uber.org/goleak"
)

// netpollPoller runs for as long as the process: netpoll starts its pollers once and never ends them.
const netpollPoller = "github.com/cloudwego/netpoll.(*defaultPoll).Wait"

// Main runs a package's tests and exits the process, with a failure if a goroutine is left that is none of netpoll's
// pollers. A package's TestMain calls it.
func Main(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction(netpollPoller))
}
