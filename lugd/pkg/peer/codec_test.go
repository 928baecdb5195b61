package peer

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"marigoldlug.example/core/announcement"
	"marigoldlug.example/core/balance"
	"marigoldlug.example/core/bootstrap"
	"marigoldlug.example/core/config"
	"marigoldlug.example/core/drain"
	"marigoldlug.example/core/feed"
	"marigoldlug.example/core/fleet"
	"marigoldlug.example/core/gateway"
	"marigoldlug.example/core/health"
	"marigoldlug.example/core/member"
	"marigoldlug.example/core/placement"
	"marigoldlug.example/core/quarantine"
	"marigoldlug.example/core/quota"
	"marigoldlug.example/core/rate"
	"marigoldlug.example/core/registry"
	"marigoldlug.example/core/request"
	"marigoldlug.example/core/revision"
	"marigoldlug.example/core/table"
)

// messages returns at least one message of every kind, with its fields set.
func messages() []any {
	vmm := member.VM{ID: "vm-1.a", Address: "127.0.0.1:1", FailureDomain: "a", Capacity: 0.3}
	pri := config.Priority(2)
	content := config.Content{
		Organisations: []config.Organisation{{Name: "o", Limit: rate.Limit{Rate: 1, Burst: 2}, Priority: &pri}, {Name: "p"}},
		Keys:          []config.Key{{Organisation: "o", Digest: config.DigestOf("key")}},
		Routes: []config.Route{{
			Name: "r", Host: "h", PathPrefix: "/", Access: config.AccessKeyed, Service: "s", Split: []config.Share{{Service: "s", Weight: 0.5}},
			Idempotent: true, Timeout: time.Second, LatencyGoal: time.Millisecond, Priority: 3, MaxAttempts: 2,
		}},
		Services: []config.Service{{Name: "s", HealthPath: "/h", Connections: 9}},
		Bounds:   config.Bounds{HeaderBytes: 1, BodyBytes: 2, HeaderTimeout: 3, IdleTimeout: 4},
	}
	criteria := placement.Criteria{Route: "r", Domain: "a", Idempotent: true, Retry: true, TimeToGoal: 1, TimeLeft: 2, Tried: []string{"t"}, Priority: 3}
	entry := registry.Entry{Service: "s", Address: "a", FailureDomain: "d", Version: "v", Slots: 3, Leaving: true, Warming: 4, Born: time.UnixMilli(5)}
	report := announcement.Report{Run: health.Run{Target: "t", Born: 5}, Limit: announcement.Limit{Limited: true, Rate: 6}, Leaving: true, SentAge: 7, HeardAge: 8}
	run := health.Run{Target: "t", Born: 5}
	suspected := quarantine.Report{Content: request.FingerprintOf("GET", "h", "/", nil), Ends: []quarantine.End{{Run: run, Separate: true, Age: 3}, {Run: health.Run{Target: "u"}}}, Epoch: 2}
	return []any{
		hello{Version: 1, From: vmm, To: "vm-2.b"},
		wrongVM{},
		forwardHello{Version: 1, From: vmm, To: "vm-2.b"},
		forwardReady{},
		successor{VM: vmm},
		stateQuery{},
		State{VM: vmm, Version: 1, VMs: 3, Ready: true, Reading: true, Follows: "vm", ConfigAge: time.Second, Requests: 5, Suspected: []string{"t"}},
		feed.Query{Number: 1, Config: 2, Targets: 3, Fleet: 4},
		bootstrap.Newcomer{},
		gateway.Departures{Known: true, Runs: []registry.Departure{{Run: run, Removed: true}, {Run: health.Run{Target: "u", Born: 6}, Leaving: true}}},
		gateway.Departures{},
		gateway.Update{
			Number: 1, Ages: gateway.Ages{Config: 1, Targets: 2, Fleet: 3, Contact: 4}, Version: 7, Config: gateway.NewConfig(7, content),
			Targets: table.Delta[registry.Entry]{Whole: true, Since: 1, Revision: 2, Rows: []table.Row[registry.Entry]{{Name: "t", Revision: 2, Value: entry}}, Removed: []string{"u"}},
			Fleet:   table.Delta[fleet.Row]{Since: 1, Revision: 2, Rows: []table.Row[fleet.Row]{{Name: "f", Revision: 2, Value: fleet.Row{VM: vmm, Name: "vm-1", Holder: "h", Released: true, Busy: quota.Busy{Names: []string{"org"}}}}}},
		},
		gateway.Update{Version: 8, Patch: &gateway.Patch{Base: 7, Version: 8, Change: config.Patch{
			Changed: content, RemovedOrganisations: []string{"p"}, RemovedKeys: []config.Digest{config.DigestOf("old")}, RemovedRoutes: []string{"q"}, RemovedServices: []string{"u"},
		}}},
		gateway.Update{
			Number: 1, Era: 3, Version: 7,
			Targets: table.Delta[registry.Entry]{Since: revision.Join(3, 1), Revision: revision.Join(3, 2), Rows: []table.Row[registry.Entry]{{Name: "t", Revision: revision.Join(3, 2), Value: entry}}},
			Fleet: table.Delta[fleet.Row]{Whole: true, Since: revision.Join(2, 0), Revision: revision.Join(2, 9), Rows: []table.Row[fleet.Row]{
				{Name: "f", Revision: revision.Join(2, 8), Value: fleet.Row{Holder: "h", Era: 2, Waiting: true}}, {Name: "g", Revision: revision.Join(2, 7), Value: fleet.Row{VM: vmm, Name: "g"}},
			}},
		},
		drain.Report{Revision: revision.Join(3, 5), Shown: []string{"a", "b"}, Retained: []drain.Retained{{Domain: "c", Left: time.Second}}},
		gateway.PathsWarning{Service: "s"},
		gateway.PortQuery{Service: "s", Run: run},
		gateway.PortReply{Run: run, Reached: true},
		gateway.Ping{},
		gateway.Pong{},
		quota.Query{Organisation: "o", Server: 2, Number: 1, Need: 2, Prefetch: 3},
		quota.Grant{Organisation: "o", Number: 1, Count: 2, RetryAfter: time.Second},
		quota.Grant{Organisation: "o", Number: 1, NotServing: true},
		placement.Query{Service: "s", Partition: 1, Number: 2, Criteria: criteria},
		placement.Query{Service: "s", Partition: 1, Number: 2, Criteria: placement.Criteria{Route: "r", Suspected: true}},
		placement.Query{Service: "s", Partition: 1, Number: 2, Criteria: placement.Criteria{Route: "r", PathsLost: true}},
		placement.Query{Service: "s", Partition: 1, Number: 2, Criteria: placement.Criteria{Route: "r", PathsLost: true, Suspected: true}},
		quarantine.Ask{Number: 1, TimeLeft: 2, Known: suspected},
		quarantine.Ruling{Number: 1, Allowed: true, Known: suspected},
		quarantine.Ended{Number: 1, Known: suspected},
		quarantine.News{Reports: []quarantine.Report{suspected, {Content: suspected.Content, Trials: 2}}, Wanted: true},
		placement.Answer{Number: 1, Target: "t", HedgeAfter: 2, ReplaceAfter: 4, RetryAfter: 3, Reason: placement.NoRoom},
		placement.Answer{Number: 1, Target: "t", HedgeAfter: 2, ReplaceAfter: 4, Announced: &report},
		placement.Answer{Number: 1, RetryAfter: 3, Reason: placement.Limited, Limits: 9},
		placement.Answer{Number: 1, Target: "t", Forwarder: "vm-3.c"},
		placement.Answer{Number: 1, Target: "t", Announced: &report, Forwarder: "vm-3.c"},
		placement.PathsLost{Service: "s", Partition: 1},
		placement.Announced{Reports: []announcement.Report{report, {Run: health.Run{Target: "u"}}}},
		placement.Ended{Ends: []placement.End{{Service: "s", Partition: 1, Number: 2, Outcome: health.ServerError}}},
		placement.Track{Attempts: []placement.RunningAttempt{{Service: "s", Partition: 1, Number: 2, Target: "t", Route: "r", Age: 3, TimeLeft: 4}}},
	}
}

// TestMessagesRoundTrip encodes and decodes every kind of message. A truncated payload must
// give errMalformed.
func TestMessagesRoundTrip(t *testing.T) {
	for _, msg := range messages() {
		payload, err := encode(msg)
		if err != nil {
			t.Errorf("%T: %v", msg, err)
			continue
		}
		decoded, err := decode(payload)
		if err != nil {
			t.Errorf("%T: %v", msg, err)
			continue
		}
		if dif := cmp.Diff(msg, decoded, cmp.Exporter(func(reflect.Type) bool { return true })); dif != "" {
			t.Errorf("%T: %s", msg, dif)
		}
		for cut := range payload {
			if _, err := decode(payload[:cut]); !errors.Is(err, errMalformed) {
				t.Errorf("%T cut to %d bytes: got %v", msg, cut, err)
			}
		}
	}
}

// TestQueriesOfOlderAndLaterProgramsAreRead encodes placement queries of every kind with the fields at their end. A program
// that stops before must read the same query without them, one that sends none must be read, and a query that is cut
// anywhere else must give errMalformed.
func TestQueriesOfOlderAndLaterProgramsAreRead(t *testing.T) {
	for _, cri := range []placement.Criteria{{}, {Suspected: true}, {PathsLost: true}, {PathsLost: true, Suspected: true}} {
		cri.Route, cri.Domain, cri.Priority = "r", "a", 2
		old, err := encode(placement.Query{Service: "s", Number: 1, Criteria: cri})
		if err != nil {
			t.Fatal(err)
		}
		for _, caller := range []uint16{0, 1, 500, 65535} {
			later := cri
			later.Caller, later.LargeResponse, later.MayHaveRun = caller, caller != 1, caller != 500
			payload, err := encode(placement.Query{Service: "s", Number: 1, Criteria: later})
			if err != nil || !bytes.HasPrefix(payload, old) {
				t.Fatalf("%+v is encoded as %x, %v, which does not begin with %x", later, payload, err, old)
			}
			for cut := len(old) - 1; cut <= len(payload); cut++ {
				got, err := decode(payload[:cut])
				switch {
				case cut == len(old) && cmp.Diff(got, any(placement.Query{Service: "s", Number: 1, Criteria: cri})) == "":
				case cut == len(payload) && cmp.Diff(got, any(placement.Query{Service: "s", Number: 1, Criteria: later})) == "":
				case cut != len(old) && cut != len(payload) && errors.Is(err, errMalformed):
				default:
					t.Errorf("%+v cut to %d of %d bytes: %+v, %v", later, cut, len(payload), got, err)
				}
			}
		}
	}
}

// TestQueriesOfLaterErasAreReadByOlderPrograms encodes a query with eras, which stand at the end. A program that stops
// before must read the same query, and one that knows eras must tell the two apart.
func TestQueriesOfLaterErasAreReadByOlderPrograms(t *testing.T) {
	without, err := encode(feed.Query{Number: 1, Config: 2, Targets: 3, Fleet: 4})
	if err != nil {
		t.Fatal(err)
	}
	qry := feed.Query{Number: 1, Config: 2, Targets: revision.Join(5, 3), Fleet: revision.Join(6, 4), KnowsEras: true}
	with, err := encode(qry)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.HasPrefix(with, without) {
		t.Error("the query does not begin as one that older programs read")
	}
	decoded, err := decode(with)
	if err != nil || decoded != any(qry) {
		t.Errorf("got %+v, %v, want %+v", decoded, err, qry)
	}
	for cut := len(without) + 1; cut < len(with); cut++ {
		if _, err := decode(with[:cut]); !errors.Is(err, errMalformed) {
			t.Errorf("cut to %d bytes: got %v", cut, err)
		}
	}
}

// TestStatesTellTheEraAtTheEnd encodes the state of a VM with an era, which older programs must read as one without.
func TestStatesTellTheEraAtTheEnd(t *testing.T) {
	without, err := encode(State{Version: 1, Suspected: []string{"t"}})
	if err != nil {
		t.Fatal(err)
	}
	with, err := encode(State{Version: 1, Suspected: []string{"t"}, Era: 4})
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := decode(with)
	if sta, ok := decoded.(State); err != nil || !ok || sta.Era != 4 || !bytes.HasPrefix(with, without) {
		t.Errorf("got %+v, %v", decoded, err)
	}
}

// TestAnswersTellTheLoadAtTheEnd encodes every kind of answer with the load of the partition, which older programs
// must read as one without, and reads answers of older programs, whose load is not known.
func TestAnswersTellTheLoadAtTheEnd(t *testing.T) {
	for _, msg := range messages() {
		ans, ok := msg.(placement.Answer)
		if !ok {
			continue
		}
		without, err := encode(ans)
		if err != nil {
			t.Fatal(err)
		}
		ans.Load = balance.LoadOf(3, 1)
		with, err := encode(ans)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.HasPrefix(with, without) || len(with) != len(without)+1 {
			t.Errorf("%x does not continue %x by one byte", with, without)
		}
		later, errLater := decode(with)
		older, errOlder := decode(without)
		if dif := cmp.Diff([]any{ans, msg}, []any{later, older}); dif != "" || errLater != nil || errOlder != nil {
			t.Errorf("%v, %v: %s", errLater, errOlder, dif)
		}
	}
}

// TestUpdatesToOlderProgramsHaveTheStoresNumbers encodes an update for a program that knows no eras. It must be of the kind
// that such programs read, with the numbers that the store gave.
func TestUpdatesToOlderProgramsHaveTheStoresNumbers(t *testing.T) {
	payload, err := encode(gateway.Update{Version: 1, Targets: table.Delta[registry.Entry]{Whole: true, Since: 0, Revision: revision.Join(4, 7)}})
	if err != nil {
		t.Fatal(err)
	}
	if payload[0] != kindFeedUpdate {
		t.Errorf("the update is of kind %d, want %d", payload[0], kindFeedUpdate)
	}
	decoded, err := decode(payload)
	if upd, ok := decoded.(gateway.Update); err != nil || !ok || upd.Targets.Revision != 7 {
		t.Errorf("got %+v, %v", decoded, err)
	}
}

// TestUpdatesCarryTheQuarantine encodes an update with an object of the quarantine, which stands at the end,
// and decodes it as this program does and as one does that stops before.
func TestUpdatesCarryTheQuarantine(t *testing.T) {
	rps := []quarantine.Report{{Content: request.FingerprintOf("GET", "h", "/", nil), Ends: []quarantine.End{{Run: health.Run{Target: "t", Born: 5}}}, Trials: 1}}
	upd := gateway.Update{Version: 1, Fleet: table.Delta[fleet.Row]{Since: 1, Revision: 2, Rows: []table.Row[fleet.Row]{
		{Name: "vm.a", Revision: 2}, {Name: fleet.QuarantineName, Revision: 2, Value: fleet.Row{Holder: "vm.a"}},
	}}}
	without, err := encode(upd)
	if err != nil {
		t.Fatal(err)
	}
	upd.Fleet.Rows[1].Value.Quarantine = rps
	with, err := encode(upd)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.HasPrefix(with, without) {
		t.Error("the update does not begin as one that older programs read")
	}
	decoded, err := decode(with)
	if err != nil {
		t.Fatal(err)
	}
	if dif := cmp.Diff(upd, decoded, cmp.Exporter(func(reflect.Type) bool { return true })); dif != "" {
		t.Error(dif)
	}
	for cut := len(without) + 1; cut < len(with); cut++ {
		if _, err := decode(with[:cut]); !errors.Is(err, errMalformed) {
			t.Errorf("cut to %d bytes: got %v", cut, err)
		}
	}
}

// TestUpdatesCarryLargeResponses encodes updates with a route with large responses, whole and as a patch. It must reach VMs of
// this build; older programs either stop before, or read names with contents of the quarantine to the end of the frame.
func TestUpdatesCarryLargeResponses(t *testing.T) {
	con := config.Content{Routes: []config.Route{{Name: "download", LargeResponses: true}, {Name: "read"}}}
	rows := []table.Row[fleet.Row]{{Name: fleet.QuarantineName, Value: fleet.Row{Holder: "vm.a", Quarantine: []quarantine.Report{{Trials: 1}}}}}
	for _, upd := range []gateway.Update{
		{Version: 1, Config: gateway.NewConfig(1, con), Fleet: table.Delta[fleet.Row]{Rows: rows}},
		{Version: 2, Patch: &gateway.Patch{Base: 1, Version: 2, Change: config.Patch{Changed: con}}, Fleet: table.Delta[fleet.Row]{Rows: rows}},
	} {
		payload, err := encode(upd)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := decode(payload)
		if dif := cmp.Diff(upd, decoded, cmp.Exporter(func(reflect.Type) bool { return true })); dif != "" || err != nil {
			t.Errorf("%v: %s", err, dif)
		}
		wrt := newWriter()
		wrt.appendix(upd)
		if !bytes.HasSuffix(payload, wrt.buf.Bytes()) {
			t.Error("the update does not end with its appendix")
		}
		rdr := newReader(wrt.buf.Bytes())
		found := make(map[string]int)
		for rdr.src.Len() > 0 && rdr.err == nil {
			name := rdr.text()
			found[name] = len(rdr.quarantineReports())
		}
		if dif := cmp.Diff(map[string]int{fleet.QuarantineName: 1, largeRoutePrefix + "download": 0}, found); dif != "" || rdr.err != nil {
			t.Errorf("%v: %s", rdr.err, dif)
		}
	}
}

// TestLongMessagesAreCompressed encodes the list of targets that a VM gets when it starts. The frame must
// be a fraction of the size that it has uncompressed, and every truncated one must give errMalformed.
func TestLongMessagesAreCompressed(t *testing.T) {
	upd := gateway.Update{Targets: table.Delta[registry.Entry]{Whole: true, Revision: 2}}
	for num := range 800 {
		upd.Targets.Rows = append(upd.Targets.Rows, table.Row[registry.Entry]{
			Name: fmt.Sprintf("i-%010x", uint64(num)*7919*104729), Revision: uint64(num), Value: registry.Entry{
				Service: "certify", Address: fmt.Sprintf("10.%d.64.%d:8127", num%5, num), FailureDomain: fmt.Sprintf("lk-west-%d", num%5), Version: "v1", Slots: 3, Born: time.UnixMilli(int64(num)),
			},
		})
	}
	wrt := newWriter()
	wrt.encodeCoreMessage(upd)
	payload, err := encode(upd)
	if err != nil {
		t.Fatal(err)
	}
	if plain := wrt.buf.Len(); 2*len(payload) > plain {
		t.Errorf("%d bytes, %d uncompressed", len(payload), plain)
	}
	decoded, err := decode(payload)
	if err != nil {
		t.Fatal(err)
	}
	if dif := cmp.Diff(upd, decoded, cmp.Exporter(func(reflect.Type) bool { return true })); dif != "" {
		t.Error(dif)
	}
	for cut := 0; cut < len(payload); cut += 97 {
		if _, err := decode(payload[:cut]); !errors.Is(err, errMalformed) {
			t.Errorf("cut to %d bytes: got %v", cut, err)
		}
	}
}

// TestDecompressionIsBounded decodes a frame that would grow to more than a thousand times its size.
func TestDecompressionIsBounded(t *testing.T) {
	payload, err := compress(make([]byte, 4*maxDecompressedSize))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := decode(payload); !errors.Is(err, errMalformed) {
		t.Errorf("%d bytes: got %v", len(payload), err)
	}
}

// FuzzDecode checks that a payload is either rejected with errMalformed or decoded to a
// message that can be encoded.
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
