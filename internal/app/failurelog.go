package app

// failureLog logs the failures of a repeated action: when one first occurs, when its text changes, and once when the
// action succeeds again.
type failureLog struct {
	failed    func(error)
	recovered func()
	last      string // text of the last failure; empty: the last action succeeded
}

// log handles the result of an action.
func (f *failureLog) log(err error) {
	text := ""
	if err != nil {
		text = err.Error()
	}
	if text == f.last {
		return
	}
	f.last = text
	if err != nil {
		f.failed(err)
	} else {
		f.recovered()
	}
}
