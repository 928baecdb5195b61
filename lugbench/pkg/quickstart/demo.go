package quickstart

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"marigoldlug.example/core/verdict"
	"marigoldlug.example/lugbench/pkg/targetfake"
	"marigoldlug.example/lugd/service/api"
)

func getJSON(ctx context.Context, loc string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, loc, http.NoBody)
	if err != nil {
		return err
	}
	rsp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = rsp.Body.Close() }()
	return json.NewDecoder(rsp.Body).Decode(out)
}

// Apply applies a release note through a VM.
func (fle *Fleet) Apply(ctx context.Context, doc []byte) (api.Release, error) {
	var rel api.Release
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+fle.VMs[0].OperatorAddress()+api.PathReleases, bytes.NewReader(doc))
	if err != nil {
		return rel, err
	}
	rsp, err := http.DefaultClient.Do(req)
	if err != nil {
		return rel, err
	}
	defer func() { _ = rsp.Body.Close() }()
	if rsp.StatusCode != http.StatusOK {
		var fail api.Error
		if err := json.NewDecoder(rsp.Body).Decode(&fail); err != nil {
			return rel, fmt.Errorf("cannot read the refusal of the release: %w", err)
		}
		return rel, &fail
	}
	return rel, json.NewDecoder(rsp.Body).Decode(&rel)
}

// Answer is what a caller got.
type Answer struct {
	Status  int
	Verdict string
	Body    string
}

// Request sends a request to a VM as a caller does. An empty key sends none.
func (fle *Fleet) Request(ctx context.Context, vmIndex int, method, path, key, name string) (Answer, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+fle.VMs[vmIndex].CallerAddress()+path, http.NoBody)
	if err != nil {
		return Answer{}, err
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	req.Header.Set(targetfake.RequestHeader, name)
	rsp, err := http.DefaultClient.Do(req)
	if err != nil {
		return Answer{}, err
	}
	defer func() { _ = rsp.Body.Close() }()
	body, err := io.ReadAll(rsp.Body)
	return Answer{Status: rsp.StatusCode, Verdict: rsp.Header.Get(verdict.Header), Body: string(body)}, err
}

// Demo starts a fleet, applies a release note, sends requests through every VM
// and prints what came back.
func Demo(ctx context.Context, out, log io.Writer) error {
	fle, err := Start(ctx, log)
	if err != nil {
		return err
	}
	err = fle.demo(ctx, out)
	if serr := fle.Stop(); err == nil {
		err = serr
	}
	return err
}

func (fle *Fleet) demo(ctx context.Context, out io.Writer) error {
	rel, err := fle.Apply(ctx, fle.Note())
	if err != nil {
		return err
	}
	if err := fle.AwaitVersion(ctx, rel.Version); err != nil {
		return err
	}
	if _, err := fmt.Fprintf(out, "release %s is in force as version %d\n", rel.ID, rel.Version); err != nil {
		return err
	}
	for num := range fle.VMs {
		for _, one := range []struct{ method, path, key string }{
			{http.MethodGet, "/recipes/celadon", Key},
			{http.MethodPost, "/orders", Key},
			{http.MethodGet, "/recipes/celadon", "withdrawn-key"},
		} {
			ans, err := fle.Request(ctx, num, one.method, one.path, one.key, fmt.Sprintf("demo-%d", num))
			if err != nil {
				return err
			}
			if _, err := fmt.Fprintf(out, "vm-%d %-4s %-16s -> %d %s %s\n", num+1, one.method, one.path, ans.Status, ans.Verdict, firstLine(ans.Body)); err != nil {
				return err
			}
		}
	}
	return nil
}

func firstLine(txt string) string {
	if idx := bytes.IndexByte([]byte(txt), '\n'); idx >= 0 {
		return txt[:idx]
	}
	return txt
}
