package socket

import (
	"testing"
	"time"
)

// TestConnectionThatIsAlwaysFullIsNotSilent sends on and on, so that as many bytes are unacknowledged at each look. The other end has
// acknowledged what was sent before.
func TestConnectionThatIsAlwaysFullIsNotSilent(t *testing.T) {
	var sil silence
	now := time.Now()
	for num := range int64(10) {
		now = now.Add(time.Second)
		sil = sil.with(reading{unacknowledged: 1000}, 1000*(num+1), now)
	}
	if got := sil.lasts(now); got != 0 {
		t.Errorf("silent for %v", got)
	}
}

// TestSilenceIsTimeWithoutAnAnswer checks for how long an end counts as silent, by what the kernel tells at each second.
func TestSilenceIsTimeWithoutAnAnswer(t *testing.T) {
	tells := func(left int, unanswered bool, last time.Duration) reading {
		return reading{unacknowledged: left, tellsAnswers: true, dataUnanswered: unanswered, lastAnswer: last}
	}
	probed := func(left int, unanswered bool, last time.Duration) reading {
		return reading{unacknowledged: left, tellsAnswers: true, probesUnanswered: unanswered, lastAnswer: last}
	}
	for _, one := range []struct {
		name string
		rdgs []reading
		want time.Duration
	}{
		{"everything acknowledged", []reading{{unacknowledged: 5}, {}}, 0},
		{"the kernel tells no answers: nothing is acknowledged", []reading{{unacknowledged: 5}, {unacknowledged: 5}, {unacknowledged: 5}}, 2 * time.Second},
		{"the kernel tells no answers: a part is acknowledged", []reading{{unacknowledged: 5}, {unacknowledged: 4}, {unacknowledged: 4}}, time.Second},
		{"the window is closed, and probes are answered", []reading{probed(5, false, 0), probed(5, false, time.Second), probed(5, false, 2*time.Second)}, 0},
		{"the window is closed, and probes are not answered", []reading{probed(5, false, 0), probed(5, false, time.Second), probed(5, true, 2*time.Second)}, 2 * time.Second},
		{"data is not answered", []reading{tells(5, true, time.Hour), tells(5, true, time.Hour), tells(5, true, time.Hour)}, 2 * time.Second},
		{"a part was answered a short time ago", []reading{tells(5, true, time.Hour), tells(5, true, 0), tells(5, true, 100*time.Millisecond)}, 100 * time.Millisecond},
		{"the other end has been silent before anything was sent", []reading{tells(5, true, time.Hour)}, 0},
	} {
		var sil silence
		now := time.Now()
		for _, rdg := range one.rdgs {
			now = now.Add(time.Second)
			sil = sil.with(rdg, 10, now)
		}
		if got := sil.lasts(now); got != one.want {
			t.Errorf("%s: silent for %v, want %v", one.name, got, one.want)
		}
	}
}
