package balance

import (
	"testing"
	"time"
)

func TestNew_InvalidSettings(t *testing.T) {
	for name, invalidate := range map[string]func(*Settings){
		"no classes":               func(s *Settings) { s.Classes = nil },
		"no cells":                 func(s *Settings) { s.Cells = 0 },
		"no instances":             func(s *Settings) { s.Instances = 0 },
		"no attempts":              func(s *Settings) { s.MaxAttempts = 0 },
		"no tick":                  func(s *Settings) { s.Tick = 0 },
		"no objective":             func(s *Settings) { s.Classes[0].Objective = 0 },
		"complete fraction over 1": func(s *Settings) { s.Classes[0].CompleteFraction = 2 },
		"negative retry budget":    func(s *Settings) { s.Rules.RetryBudgetRatio = -1 },
		"negative list age":        func(s *Settings) { s.Rules.MaxListAge = -time.Second },
	} {
		settings := testSettings()
		invalidate(&settings)
		if _, err := New(settings); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}
