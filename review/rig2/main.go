// Command review-2 runs the cases of the second review: it starts lugd as separate processes, and stand-ins of the store, the
// workers and the clients in this process.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// The exit codes of a case.
const (
	held       = 0
	broken     = 1
	couldNot   = 2
	recordName = "record.txt"
)

// record is what was sent, answered and run.
type record struct {
	mut   sync.Mutex
	began time.Time
	file  *os.File
}

var rec *record

// notef writes a line with the time since the start.
func notef(format string, args ...any) {
	rec.mut.Lock()
	defer rec.mut.Unlock()
	_, _ = fmt.Fprintf(rec.file, "%9.3f  %s\n", time.Since(rec.began).Seconds(), fmt.Sprintf(format, args...))
}

// cannot ends the program since the case could not run.
func cannot(why string) {
	notef("the case could not run: %s", why)
	fmt.Fprintln(os.Stderr, "the case could not run:", why)
	endAll()
	os.Exit(couldNot)
}

// scene is what a case has: a temporary folder, the store, and whether the disruption takes place.
type scene struct {
	dir     string
	store   *store
	trouble bool
	// stop ends the heartbeats of the workers.
	stop chan struct{}
}

// cases holds the cases by name. Each reports whether the rule was broken.
var cases = map[string]func(scn *scene) bool{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE FOLDER")
		os.Exit(couldNot)
	}
	file, err := os.Create(filepath.Join(os.Args[2], recordName))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldNot)
	}
	rec = &record{began: time.Now(), file: file}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		cannot(err.Error())
	}
	sto, err := startStore()
	if err != nil {
		cannot(err.Error())
	}
	scn := &scene{dir: dir, store: sto, trouble: os.Getenv("TROUBLE") != "0", stop: make(chan struct{})}
	notef("case %s, disruption: %v", os.Args[1], scn.trouble)
	bad := cases[os.Args[1]](scn)
	close(scn.stop)
	endAll()
	_ = os.RemoveAll(dir)
	code := held
	if bad {
		code = broken
	}
	notef("the rule was %s", map[int]string{held: "kept", broken: "broken"}[code])
	fmt.Println("the rule was", map[int]string{held: "kept", broken: "broken"}[code])
	_ = file.Close()
	os.Exit(code)
}

// route returns a route of the configuration as the operator writes it.
func route(prefix, kind, service, timeout string) map[string]any {
	return map[string]any{
		"host": "shop.example", "pathPrefix": prefix, "kind": kind, "service": service, "timeout": timeout, "targetLatency": "1500ms", "priority": 1, "attempts": 2, "public": false,
	}
}

// configure writes a configuration, as the operator does.
func (scn *scene) configure(version int, routes map[string]any, keys []string) {
	service := map[string]any{"healthPath": "/health", "maxConns": 390, "protocol": "h1", "tls": false}
	scn.store.put("config", "main", map[string]any{
		"version": fmt.Sprintf("r%d", version), "routes": routes,
		"services": map[string]any{"vault": service, "archive": service},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
		"tenants":  map[string]any{"studio": map[string]any{"apiKeys": keys, "priority": 1, "ratePerS": 0, "burst": 0}},
	})
	notef("the store has acknowledged configuration r%d with the keys %v", version, keys)
}

const key = "studio-key-0123456789"
