// Package platform speaks the object API of the platform that runs the VMs.
package platform

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/dghubble/sling"
	"golang.org/x/time/rate"
)

// The headers of the object API.
const (
	// VersionHeader carries the version of an object in answers.
	VersionHeader = "Object-Version"
	// ConditionHeader carries the version that an object must have for an
	// update; 0 means that it must not exist.
	ConditionHeader = "If-Object-Version"
)

// MaxValue is the greatest size in bytes of an object.
const MaxValue = 1 << 20

const callTimeout = 5 * time.Second

// ErrBudget is returned when the VM has spent its budget of calls.
var ErrBudget = errors.New("platform call budget is spent")

// ErrNotFound is returned for an object that does not exist.
var ErrNotFound = errors.New("object does not exist")

// ConflictError reports that an object did not have the version that an
// update required.
type ConflictError struct {
	Name    string
	Version uint64
}

// Error names the object and its version.
func (err *ConflictError) Error() string {
	return fmt.Sprintf("object %q has version %d", err.Name, err.Version)
}

// StatusError reports an answer that the object API should not give.
type StatusError struct {
	Name   string
	Status int
}

// Error names the object and the status.
func (err *StatusError) Error() string {
	return fmt.Sprintf("platform answered status %d for object %q", err.Status, err.Name)
}

// Object is a value and its version.
type Object struct {
	Value   []byte
	Version uint64
}

// VM is an entry of the platform's list of VMs, which may lag.
type VM struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	FailureDomain string `json:"failureDomain"`
	Leaving       bool   `json:"leaving"`
}

// Client calls the object API within a budget. It is safe for concurrent use.
type Client struct {
	base   *sling.Sling
	budget *rate.Limiter
	doer   sling.Doer
}

// New returns a client of the API at baseURL that makes at most perSecond
// calls a second with bursts of burst.
func New(baseURL string, doer sling.Doer, perSecond float64, burst int) *Client {
	return &Client{
		base:   sling.New().Base(baseURL),
		budget: rate.NewLimiter(rate.Limit(perSecond), burst),
		doer:   doer,
	}
}

func objectPath(name string) string { return "/v1/objects/" + url.PathEscape(name) }

// Get returns an object, or ErrNotFound.
func (cli *Client) Get(ctx context.Context, name string) (Object, error) {
	sta, obj, err := cli.call(ctx, cli.base.New().Get(objectPath(name)), name)
	if err != nil {
		return Object{}, err
	}
	switch sta {
	case http.StatusOK:
		return obj, nil
	case http.StatusNotFound:
		return Object{}, ErrNotFound
	}
	return Object{}, &StatusError{Name: name, Status: sta}
}

// Put writes an object that must have the given version, 0 for a new object,
// and returns its next version. The error is a *ConflictError when the object
// has another version. After any other error the write may have taken effect.
func (cli *Client) Put(ctx context.Context, name string, value []byte, version uint64) (uint64, error) {
	if len(value) > MaxValue {
		return 0, fmt.Errorf("object %q has %d bytes; the platform takes %d", name, len(value), MaxValue)
	}
	req := cli.base.New().Put(objectPath(name)).
		Set(ConditionHeader, strconv.FormatUint(version, 10)).
		Body(bytes.NewReader(value))
	sta, obj, err := cli.call(ctx, req, name)
	if err != nil {
		return 0, err
	}
	switch sta {
	case http.StatusOK:
		return obj.Version, nil
	case http.StatusConflict:
		return 0, &ConflictError{Name: name, Version: obj.Version}
	}
	return 0, &StatusError{Name: name, Status: sta}
}

// Delete removes an object if it exists.
func (cli *Client) Delete(ctx context.Context, name string) error {
	sta, _, err := cli.call(ctx, cli.base.New().Delete(objectPath(name)), name)
	if err == nil && sta != http.StatusNoContent && sta != http.StatusNotFound {
		err = &StatusError{Name: name, Status: sta}
	}
	return err
}

type listParams struct {
	Prefix string `url:"prefix"`
}

// List returns the names of the objects that start with prefix.
func (cli *Client) List(ctx context.Context, prefix string) ([]string, error) {
	var names []string
	err := cli.receive(ctx, cli.base.New().Get("/v1/objects").QueryStruct(listParams{Prefix: prefix}), &names)
	return names, err
}

// VMs returns the platform's list of VMs.
func (cli *Client) VMs(ctx context.Context) ([]VM, error) {
	var vms []VM
	err := cli.receive(ctx, cli.base.New().Get("/v1/vms"), &vms)
	return vms, err
}

func (cli *Client) receive(ctx context.Context, sli *sling.Sling, out any) error {
	if !cli.budget.Allow() {
		return ErrBudget
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := sli.Request()
	if err != nil {
		return err
	}
	rsp, err := cli.base.New().Doer(cli.doer).Do(req.WithContext(ctx), out, nil) //nolint:bodyclose // sling closes it
	if err != nil {
		return fmt.Errorf("cannot list at the platform: %w", err)
	}
	if rsp.StatusCode != http.StatusOK {
		return &StatusError{Name: req.URL.Path, Status: rsp.StatusCode}
	}
	return nil
}

func (cli *Client) call(ctx context.Context, sli *sling.Sling, name string) (int, Object, error) {
	if !cli.budget.Allow() {
		return 0, Object{}, ErrBudget
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := sli.Request()
	if err != nil {
		return 0, Object{}, err
	}
	rsp, err := cli.doer.Do(req.WithContext(ctx))
	if err != nil {
		return 0, Object{}, fmt.Errorf("cannot reach the platform for object %q: %w", name, err)
	}
	defer func() { _ = rsp.Body.Close() }()
	val, err := io.ReadAll(io.LimitReader(rsp.Body, MaxValue+1))
	if err != nil {
		return 0, Object{}, fmt.Errorf("cannot read the platform's answer for object %q: %w", name, err)
	}
	version, _ := strconv.ParseUint(rsp.Header.Get(VersionHeader), 10, 64)
	return rsp.StatusCode, Object{Value: val, Version: version}, nil
}
