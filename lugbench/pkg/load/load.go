// Package load drives a bounded load of real requests on loopback and compares
// the fleet with a bare relay.
package load

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"marigoldlug.example/lugbench/pkg/quickstart"
)

const (
	requests    = 6000
	concurrency = 4
	warmUp      = 500
)

// Result sums up the latencies of one path.
type Result struct {
	P50, P99  time.Duration
	PerSecond float64
}

// Drive sends a bounded number of requests and returns their latencies.
func Drive(ctx context.Context, url, key string, count int) (Result, error) {
	cli := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: concurrency}}
	defer cli.CloseIdleConnections()
	lats := make([]time.Duration, count)
	var mut sync.Mutex
	var first error
	next := make(chan int)
	var wgr sync.WaitGroup
	began := time.Now()
	for range concurrency {
		wgr.Go(func() {
			for num := range next {
				sent := time.Now()
				if err := get(ctx, cli, url, key); err != nil {
					mut.Lock()
					first = errors.Join(first, err)
					mut.Unlock()
				}
				lats[num] = time.Since(sent)
			}
		})
	}
	for num := range count {
		next <- num
	}
	close(next)
	wgr.Wait()
	elapsed := time.Since(began)
	slices.Sort(lats)
	return Result{P50: lats[count/2], P99: lats[count*99/100], PerSecond: float64(count) / elapsed.Seconds()}, first
}

func get(ctx context.Context, cli *http.Client, url, key string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return err
	}
	req.Header.Set("X-Api-Key", key)
	rsp, err := cli.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = rsp.Body.Close() }()
	if _, err := io.Copy(io.Discard, rsp.Body); err != nil {
		return err
	}
	if rsp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", rsp.StatusCode)
	}
	return nil
}

// relay passes every request to one address and knows no rules.
type relay struct {
	address string
	client  *http.Client
}

// ServeHTTP relays one request.
func (rel *relay) ServeHTTP(wrt http.ResponseWriter, req *http.Request) {
	out, err := http.NewRequestWithContext(req.Context(), req.Method, "http://"+rel.address+req.URL.RequestURI(), req.Body)
	if err != nil {
		wrt.WriteHeader(http.StatusBadRequest)
		return
	}
	rsp, err := rel.client.Do(out)
	if err != nil {
		wrt.WriteHeader(http.StatusBadGateway)
		return
	}
	defer func() { _ = rsp.Body.Close() }()
	wrt.WriteHeader(rsp.StatusCode)
	_, _ = io.Copy(wrt, rsp.Body) // A client that is gone needs no answer.
}

// Report compares the target alone, a bare relay and a VM in one run.
func Report(ctx context.Context, out, log io.Writer) error {
	fle, err := quickstart.Start(ctx, log)
	if err != nil {
		return err
	}
	err = compare(ctx, fle, out)
	return errors.Join(err, fle.Stop())
}

func compare(ctx context.Context, fle *quickstart.Fleet, out io.Writer) error {
	rel, err := fle.Apply(ctx, fle.LoadNote())
	if err != nil {
		return err
	}
	if err := fle.AwaitVersion(ctx, rel.Version); err != nil {
		return err
	}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	bare := &http.Server{ReadHeaderTimeout: time.Second, Handler: &relay{
		address: fle.TargetAddress(0), client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: concurrency}},
	}}
	go func() { _ = bare.Serve(lis) }() // Serve always ends with the error of Close.
	defer func() { _ = bare.Close() }()
	paths := []struct{ name, address string }{
		{"target alone", fle.TargetAddress(0)}, {"bare relay", lis.Addr().String()}, {"one VM", fle.VMs[0].CallerAddress()},
	}
	var results []Result
	for _, pth := range paths {
		url := "http://" + pth.address + "/recipes/celadon"
		if _, err := Drive(ctx, url, quickstart.Key, warmUp); err != nil {
			return fmt.Errorf("%s: %w", pth.name, err)
		}
		res, err := Drive(ctx, url, quickstart.Key, requests)
		if err != nil {
			return fmt.Errorf("%s: %w", pth.name, err)
		}
		results = append(results, res)
		if _, err := fmt.Fprintf(out, "%-14s p50 %8v  p99 %8v  %6.0f req/s\n", pth.name, res.P50, res.P99, res.PerSecond); err != nil {
			return err
		}
	}
	direct, bareRes, one := results[0], results[1], results[2]
	_, err = fmt.Fprintf(out, "added p50 %v p99 %v; against the bare relay p50 x%.2f, p99 x%.2f, throughput x%.2f\n",
		one.P50-direct.P50, one.P99-direct.P99, float64(one.P50)/float64(bareRes.P50), float64(one.P99)/float64(bareRes.P99), one.PerSecond/bareRes.PerSecond)
	return err
}
