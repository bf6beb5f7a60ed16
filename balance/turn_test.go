package balance

import (
	"reflect"
	"testing"
	"time"
)

func TestTurn_SameEventsSameActions(t *testing.T) {
	run := func() (actions []Action) {
		h := newHarness(t, testSettings())
		for i := range 30 {
			got := h.begin(newQuery{parts: 1 + i%3})
			actions = append(actions, got...)
			h.now += 40 * ms
			for _, send := range actionsOf[Send](got) {
				actions = append(actions, h.turn(AttemptEnded{
					Part:    send.Part,
					Replica: send.Replica,
					Result:  AttemptResult(i % 3),
				})...)
			}
		}
		return actions
	}
	if a, b := run(), run(); !reflect.DeepEqual(a, b) {
		t.Error("two runs of the same events differ")
	}
}

func TestTurn_TimerWithALongObjective(t *testing.T) {
	settings := testSettings()
	settings.Classes[0].Objective = time.Minute
	settings.Classes[0].Deadline = 2 * time.Minute
	settings.Classes[0].OverdueFraction = 0.5
	h := newHarness(t, settings)
	if timer := onlyAction[StartTimer](h, h.begin(newQuery{parts: 1})); timer.After > 15*ms {
		t.Errorf("timer after %v: the deadline of a query could expire before", timer.After)
	}
}

func TestTurn_RecentAnswersAreBounded(t *testing.T) {
	h := newHarness(t, testSettings())
	h.serve(200, 100*ms)
	if n := len(h.b.fleet.RecentAnswers); n > 21 {
		t.Errorf("%d recent answers stored, want the 20 of 2 s", n)
	}
}
