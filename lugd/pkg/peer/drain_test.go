package peer

import (
	"bytes"
	"errors"
	"reflect"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"marigoldlug.example/core/config"
	"marigoldlug.example/core/feed"
	"marigoldlug.example/core/fleet"
	"marigoldlug.example/core/gateway"
	"marigoldlug.example/core/quarantine"
	"marigoldlug.example/core/rate"
	"marigoldlug.example/core/request"
	"marigoldlug.example/core/revision"
	"marigoldlug.example/core/table"
)

func coldServicesOfTest() []config.Service {
	return []config.Service{{Name: "s", ColdStart: 3 * time.Second, ColdRate: rate.RequestsPerSecond(2.1)}, {Name: "t", Connections: 3}}
}

// TestFieldsAtTheEndOfFramesRoundTrip encodes and decodes messages with fields after those that older programs know. Cut
// before these, a frame is one of an older program; cut elsewhere, it must give errMalformed.
func TestFieldsAtTheEndOfFramesRoundTrip(t *testing.T) {
	query := feed.Query{Number: 1, Config: 2, Targets: revision.Join(3, 3), Fleet: revision.Join(3, 4), KnowsEras: true}
	knows := query
	knows.KnowsDrains = true
	starts := knows
	starts.Starting = true
	learns := starts
	learns.KnowsDepartures = true
	change := func(svs []config.Service) gateway.Update {
		return gateway.Update{Version: 8, Patch: &gateway.Patch{Base: 7, Version: 8, Change: config.Patch{Changed: config.Content{Services: svs}}}}
	}
	whole := func(svs []config.Service) gateway.Update {
		return gateway.Update{Version: 8, Config: gateway.NewConfig(8, config.Content{Services: svs})}
	}
	plain := []config.Service{{Name: "s"}, {Name: "t", Connections: 3}}
	for _, one := range []struct{ old, msg any }{{query, knows}, {knows, starts}, {starts, learns}, {change(plain), change(coldServicesOfTest())}, {whole(plain), whole(coldServicesOfTest())}} {
		old, err := encode(one.old)
		if err != nil {
			t.Fatal(err)
		}
		payload, err := encode(one.msg)
		if err != nil || !bytes.HasPrefix(payload, old) {
			t.Fatalf("%T does not begin as for older programs, %v", one.msg, err)
		}
		decoded, err := decode(payload)
		if dif := cmp.Diff(one.msg, decoded, cmp.Exporter(func(reflect.Type) bool { return true })); dif != "" || err != nil {
			t.Errorf("%T: %s, %v", one.msg, dif, err)
		}
		for cut := len(old) + 1; cut < len(payload); cut++ {
			if _, err := decode(payload[:cut]); !errors.Is(err, errMalformed) {
				t.Errorf("%T cut to %d bytes: got %v", one.msg, cut, err)
			}
		}
	}
}

// TestOlderProgramsReadUpdatesWithFieldsOfServices reads the end of an update as commit 7239a6d does. It guards against
// fields that older programs take for a malformed frame, so that they close the connection.
func TestOlderProgramsReadUpdatesWithFieldsOfServices(t *testing.T) {
	contents := []quarantine.Report{{Content: request.FingerprintOf("GET", "h", "/", nil), Trials: 2}}
	payload, err := encode(gateway.Update{
		Version: 8, Config: gateway.NewConfig(8, config.Content{Services: coldServicesOfTest()}),
		Fleet: table.Delta[fleet.Row]{Rows: []table.Row[fleet.Row]{{Name: fleet.QuarantineName, Value: fleet.Row{Quarantine: contents}}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	rdr := newReader(payload)
	if kind := rdr.unsigned(); kind != kindFeedUpdate {
		t.Fatalf("kind %d", kind)
	}
	_ = rdr.unsigned()
	for range 4 {
		_ = rdr.duration()
	}
	_, _, version := rdr.unsigned(), rdr.boolean(), rdr.unsigned()
	con := rdr.content()
	_ = rdr.boolean()
	_, _ = readDelta(rdr, rdr.entry), readDelta(rdr, rdr.fleetRow)
	rows := make(map[string]int)
	for rdr.err == nil && rdr.src.Len() > 0 {
		name := rdr.text()
		rows[name] = len(rdr.quarantineReports())
	}
	if rdr.err != nil || version != 8 || len(con.Services) != 2 || rows[fleet.QuarantineName] != 1 {
		t.Errorf("version %d, %d services, rows %v, %v", version, len(con.Services), rows, rdr.err)
	}
}
