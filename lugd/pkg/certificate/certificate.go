// Package certificate keeps the TLS keys and certificates of a program and
// reads them again when their files change.
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

// The DNS names that certificates of the fleet carry. VMs come and go with
// their addresses, so certificates name the role and not the VM.
const (
	VMName       = "marigoldlug-vm"
	OperatorName = "marigoldlug-operator"
)

// checkInterval is how often files are looked at for changes.
const checkInterval = 5 * time.Second

// Files names the files of one identity in PEM.
type Files struct {
	Certificate string
	Key         string
	// Authority signs the certificates of the other side; it is empty where the
	// other side shows none.
	Authority string
}

// Given reports whether any file is named.
func (fls Files) Given() bool { return fls != Files{} }

// Reloader holds an identity and follows changes of its files. It is safe for
// concurrent use.
type Reloader struct {
	files Files

	mut       sync.Mutex
	cert      *tls.Certificate
	pool      *x509.CertPool
	modified  time.Time
	lastCheck time.Time
}

// New reads the files. The error names the file that is at fault.
func New(fls Files) (*Reloader, error) {
	rel := &Reloader{files: fls}
	if err := rel.load(); err != nil {
		return nil, err
	}
	return rel, nil
}

// load reads the files anew. The time of the last change is taken before, so that files
// replaced meanwhile are read once more.
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

// current returns the identity, read again if its files have changed. While new
// files are incomplete the old identity stays in use.
func (rel *Reloader) current() (*tls.Certificate, *x509.CertPool) {
	rel.mut.Lock()
	defer rel.mut.Unlock()
	if now := time.Now(); now.Sub(rel.lastCheck) >= checkInterval {
		rel.lastCheck = now
		if rel.lastModified().After(rel.modified) {
			_ = rel.load() // A failure leaves the old identity and is tried again.
		}
	}
	return rel.cert, rel.pool
}

// Expires returns when the present certificate ends.
func (rel *Reloader) Expires() time.Time {
	cert, _ := rel.current()
	if cert.Leaf == nil {
		return time.Time{}
	}
	return cert.Leaf.NotAfter
}

// ServerConfig returns the settings for a listener that shows the identity. Where
// there is an authority, clients may show certificates that it signed, and with
// mutual they must.
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

var errNoCertificate = errors.New("the other side shows no certificate")

// requireName accepts only certificates for a role.
func requireName(name string) func(tls.ConnectionState) error {
	return func(sta tls.ConnectionState) error {
		if len(sta.PeerCertificates) == 0 {
			return errNoCertificate
		}
		return sta.PeerCertificates[0].VerifyHostname(name)
	}
}

// ClientConfig returns the settings for a connection to a VM.
func (rel *Reloader) ClientConfig() *tls.Config {
	cert, pool := rel.current()
	return &tls.Config{
		MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{*cert}, RootCAs: pool, ServerName: VMName,
	}
}

// IsOperator reports whether the other side has shown an operator's certificate.
func IsOperator(sta *tls.ConnectionState) bool {
	return sta != nil && len(sta.VerifiedChains) > 0 && sta.PeerCertificates[0].VerifyHostname(OperatorName) == nil
}
