package admission

import (
	"testing"
	"time"

	"marigoldlug.example/core/clock"
)

// TestLowerRanksFindATargetFullEarlier compares what ranks are given. A rank must never find room where one before it
// finds none, and each must find a free slot.
func TestLowerRanksFindATargetFullEarlier(t *testing.T) {
	for slots := 1; slots <= 12; slots++ {
		for rnk := range lowestRank {
			if next := rnk + 1; next.Limit(slots) > rnk.Limit(slots) || next.WaitShare() >= rnk.WaitShare() || next.Limit(slots) < slots {
				t.Errorf("%d slots: rank %d is given %d, rank %d %d", slots, rnk, rnk.Limit(slots), next, next.Limit(slots))
			}
		}
	}
}

// fill records the requests of ten organisations, of which number 1 asks hot times as often; admit says which find room.
func fill(bok *Book, now clock.Instant, hot int, admit func(req Request) bool) clock.Instant {
	for range 200 {
		now = now.Add(20 * time.Millisecond)
		for caller := range uint16(10) {
			times := 1
			if caller == 0 {
				times = hot
			}
			for range times {
				req := Request{Caller: caller + 1, Kind: []string{"a", "b"}[caller%2]}
				bok.Record(now, req, bok.Rank(now, req, true), admit(req), 100*time.Millisecond)
			}
		}
	}
	return now
}

// TestOrganisationAboveItsShareCountsAsOnePriorityLower lets one organisation hold five times as much as each other one. It
// alone must lose a priority, and only where capacity is scarce. Requests without an organisation are no organisation.
func TestOrganisationAboveItsShareCountsAsOnePriorityLower(t *testing.T) {
	bok := New()
	now := fill(bok, clock.At(time.Hour), 5, func(Request) bool { return true })
	for _, one := range []struct {
		req    Request
		scarce bool
		want   Rank
	}{
		{Request{Caller: 1, Kind: "a"}, true, 1},
		{Request{Caller: 1, Kind: "a", Priority: 2}, true, 3},
		{Request{Caller: 1, Kind: "a", Priority: 9}, true, 3},
		{Request{Caller: 1, Kind: "a"}, false, 0},
		{Request{Caller: 2, Kind: "b"}, true, 0},
		{Request{Kind: "a", Priority: 1}, true, 1},
		{Request{Caller: 99, Kind: "new", Priority: 1}, true, 1},
	} {
		if got := bok.Rank(now, one.req, one.scarce); got != one.want {
			t.Errorf("%+v, scarce %v: rank %d, want %d", one.req, one.scarce, got, one.want)
		}
	}
}

// TestStarvedKindsAndOrganisationsGoFirst refuses nearly all of one kind, and then nearly all of one organisation. Requests of
// either must get the first rank until they are served as often as a third of all.
func TestStarvedKindsAndOrganisationsGoFirst(t *testing.T) {
	bok := New()
	now := fill(bok, clock.At(time.Hour), 1, func(req Request) bool { return req.Kind == "a" })
	if rnk := bok.Rank(now, Request{Caller: 2, Kind: "b", Priority: 2}, true); rnk != 0 {
		t.Errorf("a kind that is always refused has rank %d", rnk)
	}
	bok = New()
	now = fill(bok, clock.At(time.Hour), 1, func(req Request) bool { return req.Caller != 4 })
	if rnk := bok.Rank(now, Request{Caller: 4, Kind: "b", Priority: 2}, true); rnk != 0 {
		t.Errorf("an organisation that is always refused has rank %d", rnk)
	}
	if rnk := bok.Rank(now, Request{Caller: 6, Kind: "b", Priority: 2}, true); rnk != 2 {
		t.Errorf("an organisation of the same kind has rank %d", rnk)
	}
}

// TestRefusedReturnWhenTheirRankFindsAPlace refuses most of a rank. Its requests must be told a longer time than those of a rank
// that finds room, at most a bound, and never less than the time until there is room at all.
func TestRefusedReturnWhenTheirRankFindsAPlace(t *testing.T) {
	bok, now := New(), clock.At(time.Hour)
	for num := range 200 {
		now = now.Add(10 * time.Millisecond)
		bok.Record(now, Request{}, 0, true, time.Second)
		bok.Record(now, Request{}, 2, num%5 == 0, time.Second)
	}
	first, last := bok.RetryAfter(now, 0, 100*time.Millisecond), bok.RetryAfter(now, 2, 100*time.Millisecond)
	if first != 100*time.Millisecond || last < 300*time.Millisecond || last > time.Second {
		t.Errorf("told %v and %v", first, last)
	}
	if got := bok.RetryAfter(now, 2, 2*time.Second); got != maxRetryAfter {
		t.Errorf("told %v", got)
	}
	if got := bok.RetryAfter(now, 2, 2*maxRetryAfter); got != 2*maxRetryAfter {
		t.Errorf("told %v", got)
	}
}

// TestIdleOrganisationsAreForgotten lets organisations ask once. They must not be kept for good, and not lower the fair share
// of those that still ask.
func TestIdleOrganisationsAreForgotten(t *testing.T) {
	bok, now := New(), clock.At(time.Hour)
	for caller := range uint16(1000) {
		bok.Record(now, Request{Caller: caller + 1, Kind: "once"}, 0, true, time.Second)
	}
	for range 60 {
		now = now.Add(time.Second)
		bok.Record(now, Request{Caller: 1, Kind: "a"}, 0, true, time.Second)
	}
	if len(bok.callers) != 1 || len(bok.kinds) != 1 {
		t.Errorf("%d organisations and %d kinds are kept", len(bok.callers), len(bok.kinds))
	}
	if CallerOf("") != 0 || CallerOf("org") == 0 {
		t.Error("an organisation must have a number, and no organisation none")
	}
}
