// Package client calls the operator API of lugd.
package client

import (
	"context"
	"net/http"
	"strconv"

	"github.com/dghubble/sling"
	errs "github.com/juju/errors"

	"marigoldlug.example/lugd/service/api"
)

// Client calls the operator API of one VM.
type Client struct {
	base *sling.Sling
}

// New returns a client of the operator API at baseURL.
func New(baseURL string, doer sling.Doer) *Client {
	return &Client{base: sling.New().Base(baseURL).Doer(doer)}
}

// UnreachableError reports that no usable response was received from the VM.
type UnreachableError struct {
	Err error
}

// Error returns a message with the cause.
func (err *UnreachableError) Error() string { return "cannot reach the VM: " + err.Err.Error() }

// Unwrap returns the cause.
func (err *UnreachableError) Unwrap() error { return err.Err }

// get requests a path and decodes the response into out. The error is an *api.Error if
// the VM responded with one.
func (cli *Client) get(ctx context.Context, path string, out any) error {
	req, err := cli.base.New().Get(path).Request()
	if err != nil {
		return err
	}
	var fail api.Error
	rsp, err := cli.base.New().Do(req.WithContext(ctx), out, &fail) //nolint:bodyclose // sling closes it
	if err != nil {
		return &UnreachableError{Err: err}
	}
	if rsp.StatusCode == http.StatusOK {
		return nil
	}
	if fail.Code == "" {
		return errs.Errorf("the VM answered status %d", rsp.StatusCode)
	}
	return &fail
}

// VMs returns the state of every VM that answers.
func (cli *Client) VMs(ctx context.Context) ([]api.VM, error) {
	var out []api.VM
	err := cli.get(ctx, api.PathVMs, &out)
	return out, err
}

// Targets returns the targets and what the VM knows about them.
func (cli *Client) Targets(ctx context.Context) ([]api.Target, error) {
	var out []api.Target
	err := cli.get(ctx, api.PathTargets, &out)
	return out, err
}

// Contents returns the contents of requests that have crashed targets, as the VM knows them.
func (cli *Client) Contents(ctx context.Context) ([]api.Content, error) {
	var out []api.Content
	err := cli.get(ctx, api.PathContents, &out)
	return out, err
}

// Domains returns the failure domains as the VM knows them.
func (cli *Client) Domains(ctx context.Context) ([]api.Domain, error) {
	var out []api.Domain
	err := cli.get(ctx, api.PathDomains, &out)
	return out, err
}

// Rollout returns which VMs hold a version of the configuration.
func (cli *Client) Rollout(ctx context.Context, version uint64) (api.Rollout, error) {
	var out api.Rollout
	err := cli.get(ctx, api.PathRollout+strconv.FormatUint(version, 10), &out)
	return out, err
}
