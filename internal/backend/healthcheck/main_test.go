package healthcheck

import (
	"testing"

	"go.uber.org/goleak"
)

// netpollPoller runs for as long as the process: netpoll starts its pollers once and never ends them.
const netpollPoller = "github.com/cloudwego/netpoll.(*defaultPoll).Wait"

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction(netpollPoller))
}
