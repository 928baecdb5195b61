package clock

import (
	"testing"
	"time"
)

// TestMomentThatNeverCameIsNeitherOldNorRecent guards against taking what never happened for something that happened when the clock began.
func TestMomentThatNeverCameIsNeitherOldNorRecent(t *testing.T) {
	now := At(time.Second)
	var never Moment
	if age, known := never.Age(now); known || age != 0 || never.Known() || never.Within(time.Hour, now) || never.AgeOr(time.Minute, now) != time.Minute {
		t.Errorf("the moment that never came has the age %v", age)
	}
	start := MomentOf(At(0))
	if age, known := start.Age(now); !known || age != time.Second || !start.Within(time.Second, now) || start.Within(time.Second-1, now) {
		t.Errorf("the moment at which the clock began has the age %v", age)
	}
	if never.Later(start) != start || start.Later(never) != start || start.Later(MomentOf(now)) != MomentOf(now) {
		t.Error("the later of two moments is wrong")
	}
}
