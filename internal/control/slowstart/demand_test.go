package slowstart

import (
	"math"
	"testing"
	"time"
)

func TestDemand_DecaysWithThePeakBehind(t *testing.T) {
	d := Demand{Answered: 100, Offered: 50, Peak: 10}
	d.Decay(0, time.Second)
	if d.Peak != 100 {
		t.Fatalf("peak %v, want the parts answered", d.Peak)
	}
	d.Decay(DemandPeriods*time.Second, time.Second)
	if math.Abs(d.Answered-100/math.E) > 1e-9 || math.Abs(d.Offered-50/math.E) > 1e-9 {
		t.Errorf("%+v after one period", d)
	}
	if d.Peak < 90 || d.Peak >= 100 {
		t.Errorf("peak %v after one period, want it to fall slowly", d.Peak)
	}
}

func TestDemand_Owed(t *testing.T) {
	d := Demand{Answered: 100} // in ten seconds
	got := d.AccruedCredit(time.Second, time.Second, 5)
	if want := creditFactor * 10 / 5; math.Abs(got-want) > 1e-9 {
		t.Errorf("credit of %v parts, want %v", got, want)
	}
	if most := d.AccruedCredit(time.Second, time.Second, 0); most > creditFactor*10+1e-9 {
		t.Errorf("credit of %v parts where no server is warm", most)
	}
}

func TestDemand_ExceedsPeak(t *testing.T) {
	d := Demand{Offered: 21, Peak: 5}
	if d.ExceedsPeak(7, 3) || !d.ExceedsPeak(6, 3) {
		t.Error("63 parts over servers that answered 5 each must exceed twice the peak of 6, not of 7")
	}
}
