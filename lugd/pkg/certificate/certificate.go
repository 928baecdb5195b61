// Package certificate loads the TLS keys and certificates of a program, and reloads them
// when their files change.
package certificate

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

// The DNS names in the certificates of the fleet. They name a role rather than a VM, since
// VMs and their addresses come and go.
const (
	VMName       = "marigoldlug-vm"
	OperatorName = "marigoldlug-operator"
)

// checkInterval is the least time between two checks of the files for changes.
const checkInterval = 5 * time.Second

// Files names the PEM files of one identity.
type Files struct {
	Certificate string
	Key         string
	// Authority is the certificate file of the authority that signs the certificates of
	// the other side; it is empty if the other side presents none.
	Authority string
}

// IsSet reports whether any file is named.
func (fls Files) IsSet() bool { return fls != Files{} }

// Reloader holds an identity and reloads it when its files change. It is safe for
// concurrent use.
type Reloader struct {
	files Files

	mut  sync.Mutex
	cert *tls.Certificate
	// pool holds the authority's certificates; nil without an authority.
	pool *x509.CertPool
	// modified is the time of the last change to the loaded files.
	modified time.Time
	// lastCheck is when the files were last checked for changes.
	lastCheck time.Time
}

// New loads the files. The error names the files that cannot be used.
func New(fls Files) (*Reloader, error) {
	rel := &Reloader{files: fls}
	if err := rel.load(); err != nil {
		return nil, err
	}
	return rel, nil
}

// load reads the files. It takes the time of their last change before it reads them, so
// that files replaced meanwhile are loaded once more.
func (rel *Reloader) load() error {
	modified := rel.lastModified()
	cert, err := tls.LoadX509KeyPair(rel.files.Certificate, rel.files.Key)
	if err != nil {
		return fmt.Errorf("cannot use certificate %q with key %q: %w", rel.files.Certificate, rel.files.Key, err)
	}
	var pool *x509.CertPool
	if rel.files.Authority != "" {
		raw, err := os.ReadFile(rel.files.Authority)
		if err != nil {
			return fmt.Errorf("cannot read authority %q: %w", rel.files.Authority, err)
		}
		pool = x509.NewCertPool()
		if !pool.AppendCertsFromPEM(raw) {
			return fmt.Errorf("authority %q holds no certificate", rel.files.Authority)
		}
	}
	rel.cert, rel.pool = &cert, pool
	rel.modified = modified
	return nil
}

// lastModified returns when any of the files last changed.
func (rel *Reloader) lastModified() time.Time {
	var out time.Time
	for _, name := range []string{rel.files.Certificate, rel.files.Key, rel.files.Authority} {
		if inf, err := os.Stat(name); err == nil && inf.ModTime().After(out) {
			out = inf.ModTime()
		}
	}
	return out
}

// current returns the identity, reloaded if its files have changed. The old identity stays
// in use while the new files cannot be loaded, for instance because they are incomplete.
func (rel *Reloader) current() (*tls.Certificate, *x509.CertPool) {
	rel.mut.Lock()
	defer rel.mut.Unlock()
	if now := time.Now(); now.Sub(rel.lastCheck) >= checkInterval {
		rel.lastCheck = now
		if rel.lastModified().After(rel.modified) {
			_ = rel.load() // A failure leaves the old identity in use; the next check retries.
		}
	}
	return rel.cert, rel.pool
}

// ServerConfig returns the TLS configuration of a listener that presents the identity. If
// there is an authority, clients may present certificates signed by it. With mutual they
// must, and the certificates must be those of VMs.
func (rel *Reloader) ServerConfig(mutual bool) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: []string{"h2", "http/1.1"},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, pool := rel.current()
			cfg := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{*cert}, NextProtos: []string{"h2", "http/1.1"}}
			if pool != nil {
				cfg.ClientCAs = pool
				cfg.ClientAuth = tls.VerifyClientCertIfGiven
			}
			if mutual {
				cfg.ClientAuth = tls.RequireAndVerifyClientCert
				cfg.VerifyConnection = requireName(VMName)
			}
			return cfg, nil
		},
	}
}

var errNoCertificate = errors.New("the other side presented no certificate")

// requireName returns a check that accepts only certificates with the given DNS name.
func requireName(name string) func(tls.ConnectionState) error {
	return func(sta tls.ConnectionState) error {
		if len(sta.PeerCertificates) == 0 {
			return errNoCertificate
		}
		return sta.PeerCertificates[0].VerifyHostname(name)
	}
}

// ClientConfig returns the TLS configuration of a connection to a VM.
func (rel *Reloader) ClientConfig() *tls.Config {
	cert, pool := rel.current()
	return &tls.Config{
		MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{*cert}, RootCAs: pool, ServerName: VMName,
	}
}

// IsOperator reports whether the other side has presented a valid certificate of an
// operator.
func IsOperator(sta *tls.ConnectionState) bool {
	return sta != nil && len(sta.VerifiedChains) > 0 && sta.PeerCertificates[0].VerifyHostname(OperatorName) == nil
}
