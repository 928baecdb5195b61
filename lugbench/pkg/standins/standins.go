// Package standins runs the platform and some targets by themselves, for VMs
// that run as processes, and drives a bounded load through these.
package standins

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"marigoldlug.example/core/config"
	"marigoldlug.example/core/note"
	"marigoldlug.example/core/verdict"
	"marigoldlug.example/lugbench/pkg/platformfake"
	"marigoldlug.example/lugbench/pkg/quickstart"
	"marigoldlug.example/lugbench/pkg/targetfake"
)

const (
	targetSlots   = 6
	targetLatency = 20 * time.Millisecond
)

// Settings say where the stand-ins listen.
type Settings struct {
	// Base is the first port: the platform's; the targets follow.
	Base    int
	Targets int
}

func (set Settings) address(num int) string { return fmt.Sprintf("127.0.0.1:%d", set.Base+num) }

// Run serves until ctx ends. GET /runs at the port after the targets tells how
// often each request was run.
func Run(ctx context.Context, set Settings) error {
	tgs := make([]*targetfake.Target, set.Targets)
	handlers := []http.Handler{platformfake.New()}
	for num := range tgs {
		tgs[num] = targetfake.New(fmt.Sprintf("worker-%d", num+1), targetSlots)
		tgs[num].SetFaults(targetfake.Faults{Latency: targetLatency})
		handlers = append(handlers, tgs[num])
	}
	handlers = append(handlers, http.HandlerFunc(func(wrt http.ResponseWriter, _ *http.Request) {
		sum := make(map[string]int)
		for _, tgt := range tgs {
			for name, cnt := range tgt.AllRuns() {
				sum[name] += cnt
			}
		}
		if err := json.NewEncoder(wrt).Encode(sum); err != nil {
			panic(http.ErrAbortHandler)
		}
	}))
	var wgr sync.WaitGroup
	for num, han := range handlers {
		lis, err := net.Listen("tcp", set.address(num))
		if err != nil {
			return err
		}
		srv := &http.Server{Handler: han, ReadHeaderTimeout: time.Second}
		wgr.Go(func() { _ = srv.Serve(lis) }) // Serve always ends with the error of Close.
		go func() {
			<-ctx.Done()
			_ = srv.Close()
		}()
	}
	wgr.Wait()
	return nil
}

// Note returns the release note for the targets.
func Note(set Settings) string {
	digest := note.ShowDigest(config.DigestOf(quickstart.Key))
	txt := "release: processes\nbase: 0\nadded:\n  organisations: [{name: studio, rate: 200, burst: 200}]\n" +
		fmt.Sprintf("  keys: [{id: studio-1, organisation: studio, digest: %q}]\n", digest) +
		"  services: [{name: recipe-vault, healthyFloor: 0.6}]\n  targets:\n"
	for num := range set.Targets {
		txt += fmt.Sprintf("    - {service: recipe-vault, name: worker-%d, address: %q, failureDomain: domain-%d, slots: %d, connections: 300}\n",
			num+1, set.address(num+1), num%3+1, targetSlots)
	}
	return txt + "  routes:\n" +
		"    - {name: recipes, pathPrefix: /recipes, methods: [GET], service: recipe-vault, idempotent: true, timeout: 2s, maxAttempts: 3}\n" +
		"    - {name: orders, pathPrefix: /orders, methods: [POST], service: recipe-vault, idempotent: false, timeout: 2s, maxAttempts: 3}\n"
}

// Tally sums up what callers got.
type Tally struct {
	Sent, Good, NotRun, Uncertain, Unreachable int
	// Broken lists promises that were broken.
	Broken []string
}

// Drive sends orders and reads to the VMs in turn for a time, perSecond, and
// compares the answers with what the targets ran.
func Drive(ctx context.Context, set Settings, vms []string, perSecond int, span time.Duration, out io.Writer) error {
	cli := &http.Client{Timeout: 5 * time.Second}
	var mut sync.Mutex
	verdicts := make(map[string]string)
	var tal Tally
	var wgr sync.WaitGroup
	tck := time.NewTicker(time.Second / time.Duration(perSecond))
	defer tck.Stop()
	for num := 0; num < int(span.Seconds()*float64(perSecond)) && ctx.Err() == nil; num++ {
		<-tck.C
		wgr.Go(func() {
			name := fmt.Sprintf("order-%d", num)
			sta, ver := send(ctx, cli, "http://"+vms[num%len(vms)]+"/orders", name)
			mut.Lock()
			defer mut.Unlock()
			verdicts[name] = ver
			tal.count(sta, ver)
		})
	}
	wgr.Wait()
	runs, err := readRuns(ctx, cli, "http://"+set.address(set.Targets+1)+"/runs")
	if err != nil {
		return err
	}
	tal.compare(verdicts, runs)
	if _, err := fmt.Fprintf(out, "sent %d, answered %d, not run %d, may have run %d, VM unreachable %d, broken promises %d\n",
		tal.Sent, tal.Good, tal.NotRun, tal.Uncertain, tal.Unreachable, len(tal.Broken)); err != nil {
		return err
	}
	if len(tal.Broken) > 0 {
		return errors.New(tal.Broken[0])
	}
	return nil
}

func send(ctx context.Context, cli *http.Client, url, name string) (status int, ver string) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, http.NoBody)
	if err != nil {
		return 0, ""
	}
	req.Header.Set("X-Api-Key", quickstart.Key)
	req.Header.Set(targetfake.RequestHeader, name)
	rsp, err := cli.Do(req)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = rsp.Body.Close() }()
	if _, err := io.Copy(io.Discard, rsp.Body); err != nil {
		return 0, ""
	}
	return rsp.StatusCode, rsp.Header.Get(verdict.Header)
}

func readRuns(ctx context.Context, cli *http.Client, url string) (map[string]int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return nil, err
	}
	rsp, err := cli.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = rsp.Body.Close() }()
	var runs map[string]int
	return runs, json.NewDecoder(rsp.Body).Decode(&runs)
}

func (tal *Tally) count(status int, ver string) {
	tal.Sent++
	switch {
	case status == http.StatusOK:
		tal.Good++
	case status == 0:
		tal.Unreachable++
	case ver == verdict.NotRun.String():
		tal.NotRun++
	default:
		tal.Uncertain++
	}
}

func (tal *Tally) compare(verdicts map[string]string, runs map[string]int) {
	for name, ver := range verdicts {
		switch cnt := runs[name]; {
		case cnt > 1:
			tal.Broken = append(tal.Broken, fmt.Sprintf("%s ran %d times", name, cnt))
		case cnt > 0 && ver == verdict.NotRun.String():
			tal.Broken = append(tal.Broken, name+" ran although it was refused as not run")
		}
	}
}
