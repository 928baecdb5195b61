package note

import (
	"errors"
	"testing"

	"marigoldlug.example/core/config"
)

// FuzzRead checks that Read returns either validation errors or a note. If the note can be
// applied, it checks that the resulting configuration is the same after it was rendered and
// read again.
func FuzzRead(f *testing.F) {
	f.Add([]byte("release: a\nadded: {organisations: [{name: o, rate: 1.5, burst: 2}]}"))
	f.Add([]byte(`{"release": "a", "withdrawn": {"keys": ["k"]}}`))
	f.Add([]byte("release: a\nadded:\n  services: [{name: s}]\n  routes: [{name: r, pathPrefix: /, split: {s: 1}, idempotent: true, timeout: 1s}]"))
	f.Add([]byte("release: a\nadded:\n  services: [{name: s, healthyFloor: 0.5}]\n  routes: [{name: r, pathPrefix: /, service: s, idempotent: true, timeout: 1s, methods: [GET]}]"))
	f.Add([]byte("release: a\nadded:\n  services: [{name: s}]\n  routes: [{name: r, pathPrefix: /, service: s, idempotent: true, largeResponses: true, timeout: 1s}]"))
	f.Add([]byte("a: &a [*a]"))
	f.Add([]byte("release: [\n"))
	f.Fuzz(func(t *testing.T, doc []byte) {
		nte, err := Read(doc)
		if err != nil {
			var invalid ValidationError
			if !errors.As(err, &invalid) || len(invalid) == 0 {
				t.Fatalf("error of type %T, want a non-empty ValidationError", err)
			}
			return
		}
		con, err := nte.Apply(config.Content{}, config.Content{}, 1)
		if err != nil {
			return
		}
		again, err := Read([]byte("release: again\n" + Render(con)))
		if err != nil {
			t.Fatalf("cannot read the rendered note: %v", err)
		}
		same, err := again.Apply(config.Content{}, config.Content{}, 1)
		if err != nil || len(Diff(con, same)) > 0 {
			t.Fatalf("the rendered note makes a different configuration: %v, %v", Diff(con, same), err)
		}
	})
}
