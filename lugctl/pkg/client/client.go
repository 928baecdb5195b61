// Package client calls the operator API of lugd.
package client

import (
	"context"
	"fmt"
	"net/http"
	"strings"

	"github.com/dghubble/sling"

	"marigoldlug.example/lugd/service/api"
)

// Client calls one VM.
type Client struct {
	base *sling.Sling
}

// New returns a client of the operator API at baseURL that acts for operator.
func New(baseURL, operator string, doer sling.Doer) *Client {
	return &Client{base: sling.New().Base(baseURL).Doer(doer).Set(api.OperatorHeader, operator)}
}

// UnreachableError reports that the VM gave no answer.
type UnreachableError struct {
	Err error
}

// Error returns the cause.
func (err *UnreachableError) Error() string { return "cannot reach the VM: " + err.Err.Error() }

// Unwrap returns the cause.
func (err *UnreachableError) Unwrap() error { return err.Err }

func (cli *Client) receive(ctx context.Context, sli *sling.Sling, out any) error {
	req, err := sli.Request()
	if err != nil {
		return err
	}
	var fail api.Error
	rsp, err := sli.Do(req.WithContext(ctx), out, &fail) //nolint:bodyclose // sling closes it
	if err != nil {
		return &UnreachableError{Err: err}
	}
	if rsp.StatusCode == http.StatusOK {
		return nil
	}
	if fail.Code == "" {
		return fmt.Errorf("the VM answered status %d", rsp.StatusCode)
	}
	return &fail
}

func (cli *Client) post(path string, doc []byte) *sling.Sling {
	return cli.base.New().Post(path).Set("Content-Type", "application/yaml").Body(strings.NewReader(string(doc)))
}

// Apply applies a release note.
func (cli *Client) Apply(ctx context.Context, doc []byte) (api.Release, error) {
	var rel api.Release
	return rel, cli.receive(ctx, cli.post(api.PathReleases, doc), &rel)
}

// Check returns what a note would change.
func (cli *Client) Check(ctx context.Context, doc []byte) (api.CheckResult, error) {
	var res api.CheckResult
	return res, cli.receive(ctx, cli.post(api.PathCheck, doc), &res)
}

// History returns the latest releases.
func (cli *Client) History(ctx context.Context) (api.History, error) {
	var his api.History
	return his, cli.receive(ctx, cli.base.New().Get(api.PathReleases), &his)
}

// Show returns the configuration at a version in the form of a note.
func (cli *Client) Show(ctx context.Context, version uint64) (string, error) {
	var doc api.Document
	err := cli.receive(ctx, cli.base.New().Get(fmt.Sprintf("%s/%d/note", api.PathReleases, version)), &doc)
	return doc.Text, err
}

// Spread says how far a version has come.
func (cli *Client) Spread(ctx context.Context, version uint64) (api.Spread, error) {
	var spr api.Spread
	err := cli.receive(ctx, cli.base.New().Get(fmt.Sprintf("%s/%d/spread", api.PathReleases, version)), &spr)
	return spr, err
}

// VMs lists the VMs.
func (cli *Client) VMs(ctx context.Context) ([]api.VM, error) {
	var vms []api.VM
	return vms, cli.receive(ctx, cli.base.New().Get(api.PathVMs), &vms)
}

// Targets lists the targets as the VM sees them.
func (cli *Client) Targets(ctx context.Context) ([]api.Target, error) {
	var tgs []api.Target
	return tgs, cli.receive(ctx, cli.base.New().Get(api.PathTargets), &tgs)
}
