package peer

import (
	"errors"
	"reflect"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"marigoldlug.example/core/chunk"
	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/fence"
	"marigoldlug.example/core/health"
	"marigoldlug.example/core/member"
	"marigoldlug.example/core/rate"
)

// messages has one of every kind, with every field set.
func messages() []any {
	vmm := member.VM{ID: "vm-1.a", Address: "127.0.0.1:1", FailureDomain: "a"}
	id := chunk.IDOf([]byte("chunk"))
	stamp := clock.Instant{Mono: time.Second, Wall: -time.Minute}
	head := fence.Head{
		Version: 7, Release: "note", ReleaseVersion: 6, Manifest: id, History: id, LimitsVersion: 5, Epoch: 4,
		View: id, PriorView: id, Writer: "vm", Sequence: 3,
	}
	grant := rate.Grant{Rate: 1, Burst: 2, Tokens: 3}
	ejections := []health.Ejection{{Target: "s/t", Left: time.Second, Times: 2}}
	return []any{
		hello{Version: 1, From: vmm, To: "vm-2.b"},
		stranger{},
		chunkQuestion{ID: id},
		chunkAnswer{ID: id, Content: []byte("chunk")},
		stateQuestion{},
		State{
			VM: vmm, Version: 1, Release: "r", Epoch: 2, Members: 3, Accepted: 4, Ready: true, Active: true,
			ProofAge: time.Second, Requests: 5, Ejected: []string{"s/t"},
		},
		fence.Question{Sequence: 1, Epoch: 2, Version: 3},
		fence.Vote{Epoch: 1, Version: 2, Stamp: stamp},
		fence.Answer{Sequence: 1, Version: 2, Proved: true, Age: time.Second, Stamp: stamp, Accepted: 1},
		fence.News{Head: head},
		fence.TallyQuestion{Sequence: 1, Epoch: 2, Version: 3},
		fence.TallyAnswer{
			Sequence: 1, Epoch: 2, Domain: "a", Version: 3, Ages: []int{1, 0, 2}, Asked: 3, Holding: 4, HoldingPrior: 5,
			Lagging: []string{"x"}, Silent: []string{"y"}, Accepted: 2,
		},
		fence.HeadQuestion{},
		rate.Ask{Organisation: "o", Round: 1, Need: 2, Demand: 3, Held: rate.Limit{Rate: 4, Burst: 5}},
		rate.Transfer{Organisation: "o", Round: 1, Number: 2, Grant: grant, Answer: true, RetryAfter: time.Second},
		rate.Ack{Organisation: "o", Number: 1},
		rate.Deny{Organisation: "o", Round: 1, RetryAfter: 2, Behind: true},
		rate.Survey{Epoch: 1, Version: 2},
		rate.Holdings{Epoch: 1, Version: 2, List: []rate.Holding{{Organisation: "o", Round: 3, Entered: rate.Limit{Rate: 4, Burst: 5}}}},
		member.Join{VM: vmm},
		member.Leave{ID: "vm"},
		member.Ping{},
		member.Pong{},
		health.Digest{Service: "s", Sequence: 1, Median: 2, Counts: []health.Counts{{Target: "t", OK: 1, Bad: 2, Slow: 3}}, Ejected: ejections},
		health.Verdict{Service: "s", Median: 1, Ejected: ejections, Weighted: []health.Weighted{{Target: "t", Percent: 5}}, Working: true},
	}
}

func TestEveryMessageComesBackTheSame(t *testing.T) {
	for _, msg := range messages() {
		payload, err := encode(msg)
		if err != nil {
			t.Errorf("%T: %v", msg, err)
			continue
		}
		back, err := decode(payload)
		if err != nil {
			t.Errorf("%T: %v", msg, err)
			continue
		}
		if dif := cmp.Diff(msg, back, cmp.Exporter(func(reflect.Type) bool { return true })); dif != "" {
			t.Errorf("%T: %s", msg, dif)
		}
		for cut := range payload {
			if _, err := decode(payload[:cut]); !errors.Is(err, errMalformed) {
				t.Errorf("%T cut to %d bytes: got %v", msg, cut, err)
			}
		}
	}
}

// FuzzDecode checks that no payload does more harm than an error.
func FuzzDecode(f *testing.F) {
	for _, msg := range messages() {
		payload, err := encode(msg)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(payload)
	}
	f.Fuzz(func(t *testing.T, payload []byte) {
		msg, err := decode(payload)
		if err != nil {
			if !errors.Is(err, errMalformed) {
				t.Fatalf("error of type %T: %v", err, err)
			}
			return
		}
		if _, err := encode(msg); err != nil {
			t.Fatalf("decoded message of type %T cannot be encoded: %v", msg, err)
		}
	})
}
