// Package command implements the command line of lugctl.
package command

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"marigoldlug.example/lugctl/pkg/client"
	"marigoldlug.example/lugctl/pkg/release"
	"marigoldlug.example/lugd/pkg/certificate"
)

const (
	// callTimeout bounds a call of the operator API.
	callTimeout = 30 * time.Second
	// pollInterval is how long waitInForce waits between two calls.
	pollInterval = 200 * time.Millisecond
)

// Store is the store of the platform, as operators use it.
type Store interface {
	release.Store
	// Lift ends the quarantine of the content of requests with a fingerprint. The error is ErrNotQuarantined
	// if the store has no such content, and release.ErrConcurrentChange if the object has changed meanwhile.
	Lift(ctx context.Context, content string) error
	// Drained returns the failure domains that are drained, sorted by name.
	Drained(ctx context.Context) ([]string, error)
	// Drain drains a failure domain. It does nothing if that is drained already.
	Drain(ctx context.Context, domain string) error
	// Restore ends the drain of a failure domain. The error is ErrNotDrained if it is not drained.
	Restore(ctx context.Context, domain string) error
}

// ErrNotQuarantined is returned where the store has no quarantined content with the given fingerprint.
var ErrNotQuarantined = errors.New("the store holds no content with this fingerprint")

// ErrNotDrained is returned where the store has no drain of the given failure domain.
var ErrNotDrained = errors.New("the store holds no drain of this failure domain")

// Connect returns the store of the platform at an address, an IP address and port.
type Connect func(address string) Store

// commandContext holds the global flags and the output streams, which all commands share.
type commandContext struct {
	out      io.Writer
	progress io.Writer
	connect  Connect
	// platform is the address of the platform's store, and address the URL of the operator
	// API of a VM.
	platform string
	address  string
	// operator is the name under which the history lists releases.
	operator string
	// output is "json" or "table".
	output string
	// wait is how long to wait until a release is in force.
	wait time.Duration
	// files are the TLS certificate and key of the operator and the authority of the VMs.
	files certificate.Files
}

// New returns the root command. It writes results to out and progress messages to
// progress, and opens the platform's store with con.
func New(con Connect, out, progress io.Writer) *cli.Command {
	cct := &commandContext{out: out, progress: progress, connect: con}
	return &cli.Command{
		Name:   "lugctl",
		Usage:  "manage a marigoldlug proxy fleet",
		Writer: out,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "platform", Usage: "IP address and port of the platform's store, for releases, keys, the quarantine and drains", Destination: &cct.platform, Sources: cli.EnvVars("LUGCTL_PLATFORM")},
			&cli.StringFlag{Name: "address", Usage: "URL of the operator API of any VM", Value: "http://127.0.0.1:8082", Destination: &cct.address, Sources: cli.EnvVars("LUGCTL_ADDRESS")},
			&cli.StringFlag{Name: "operator", Usage: "name of the operator, kept in the history", Value: os.Getenv("USER"), Destination: &cct.operator, Sources: cli.EnvVars("LUGCTL_OPERATOR")},
			&cli.StringFlag{Name: "output", Aliases: []string{"o"}, Usage: "json or table", Value: "table", Destination: &cct.output, Sources: cli.EnvVars("LUGCTL_OUTPUT")},
			&cli.StringFlag{Name: "certificate", Usage: "file of the operator's certificate", Destination: &cct.files.Certificate, Sources: cli.EnvVars("LUGCTL_CERTIFICATE")},
			&cli.StringFlag{Name: "key", Usage: "file of the private key of the certificate", Destination: &cct.files.Key, Sources: cli.EnvVars("LUGCTL_KEY")},
			&cli.StringFlag{Name: "authority", Usage: "file of the certificate authority that signs the certificates of VMs", Destination: &cct.files.Authority, Sources: cli.EnvVars("LUGCTL_AUTHORITY")},
			&cli.DurationFlag{Name: "wait", Usage: "how long to wait until a release is in force", Value: 30 * time.Second, Destination: &cct.wait, Sources: cli.EnvVars("LUGCTL_WAIT")},
		},
		Commands: []*cli.Command{cct.releaseCommand(), cct.keyCommand(), cct.vmCommand(), cct.targetCommand(), cct.quarantineCommand(), cct.domainCommand(), cct.explainCommand()},
	}
}

// client returns a client of the operator API at the address that the flags give.
func (cct *commandContext) client() (*client.Client, error) {
	doer := &http.Client{Timeout: callTimeout}
	if cct.files.IsSet() {
		rel, err := certificate.New(cct.files)
		if err != nil {
			return nil, &usageError{message: err.Error()}
		}
		doer.Transport = &http.Transport{TLSClientConfig: rel.ClientConfig()}
	}
	return client.New(cct.address, doer), nil
}

// applier returns an applier of release notes for the platform's store.
func (cct *commandContext) applier() (*release.Applier, error) {
	sto, err := cct.store()
	if err != nil {
		return nil, err
	}
	return release.New(sto, time.Now), nil
}

// store returns the platform's store at the address that the flags give.
func (cct *commandContext) store() (Store, error) {
	if cct.platform == "" {
		return nil, &usageError{message: "the address of the platform is missing; set --platform or LUGCTL_PLATFORM"}
	}
	return cct.connect(cct.platform), nil
}

// action is the body of a command. It writes its result to prn.
type action func(ctx context.Context, cmd *cli.Command, prn *printer) error

// run returns act as an action of the command-line library.
func (cct *commandContext) run(act action) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		prn, err := newPrinter(cct.out, cct.output)
		if err != nil {
			return err
		}
		return act(ctx, cmd, prn)
	}
}

// argument returns the only argument of cmd. name describes it in the error for any
// other number of arguments.
func argument(cmd *cli.Command, name string) (string, error) {
	if cmd.Args().Len() != 1 {
		return "", &usageError{message: cmd.FullName() + " takes one argument: " + name}
	}
	return cmd.Args().First(), nil
}
