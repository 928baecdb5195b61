package certificate

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// authority signs certificates for tests.
type authority struct {
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	raw  []byte
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	tpl := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	raw, err := x509.CreateCertificate(rand.Reader, tpl, tpl, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(raw)
	if err != nil {
		t.Fatal(err)
	}
	return &authority{key: key, cert: cert, raw: raw}
}

// issue writes the files of a new identity with the given DNS name.
func (aut *authority) issue(t *testing.T, dir, name string, serial int64) Files {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	tpl := &x509.Certificate{
		SerialNumber: big.NewInt(serial), DNSNames: []string{name}, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	raw, err := x509.CreateCertificate(rand.Reader, tpl, aut.cert, &key.PublicKey, aut.key)
	if err != nil {
		t.Fatal(err)
	}
	rawKey, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	fls := Files{Certificate: filepath.Join(dir, name+".pem"), Key: filepath.Join(dir, name+".key"), Authority: filepath.Join(dir, "authority.pem")}
	for file, block := range map[string]*pem.Block{
		fls.Certificate: {Type: "CERTIFICATE", Bytes: raw}, fls.Key: {Type: "EC PRIVATE KEY", Bytes: rawKey},
		fls.Authority: {Type: "CERTIFICATE", Bytes: aut.raw},
	} {
		if err := os.WriteFile(file, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return fls
}

func newReloader(t *testing.T, fls Files) *Reloader {
	t.Helper()
	rel, err := New(fls)
	if err != nil {
		t.Fatal(err)
	}
	return rel
}

// handshake performs a TLS handshake and returns the server's certificate as seen by the
// client.
func handshake(t *testing.T, server, client *tls.Config) (*x509.Certificate, error) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = lis.Close() }()
	done := make(chan error, 1)
	go func() {
		con, err := lis.Accept()
		if err == nil {
			err = tls.Server(con, server).Handshake()
		}
		done <- err
	}()
	con, err := net.Dial("tcp", lis.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = con.Close() }()
	_ = con.SetDeadline(time.Now().Add(5 * time.Second))
	cli := tls.Client(con, client)
	if err := cli.Handshake(); err != nil {
		_ = con.Close()
		return nil, errors.Join(err, <-done)
	}
	if err := <-done; err != nil {
		return nil, err
	}
	return cli.ConnectionState().PeerCertificates[0], nil
}

// TestVMsTrustOnlyVMsOfTheirAuthority connects to a VM with certificates of a VM, of an operator
// and of another authority. Where mutual TLS is required, only the first must be accepted.
// Otherwise an operator's must be accepted too.
func TestVMsTrustOnlyVMsOfTheirAuthority(t *testing.T) {
	aut, other := newAuthority(t), newAuthority(t)
	vmm := newReloader(t, aut.issue(t, t.TempDir(), VMName, 2))
	operator := newReloader(t, aut.issue(t, t.TempDir(), OperatorName, 3))
	foreign := newReloader(t, other.issue(t, t.TempDir(), VMName, 4))
	if _, err := handshake(t, vmm.ServerConfig(true), vmm.ClientConfig()); err != nil {
		t.Errorf("a VM was rejected: %v", err)
	}
	if _, err := handshake(t, vmm.ServerConfig(true), operator.ClientConfig()); err == nil {
		t.Error("an operator was accepted as a VM")
	}
	if _, err := handshake(t, vmm.ServerConfig(true), foreign.ClientConfig()); err == nil {
		t.Error("a VM of another authority was accepted")
	}
	if _, err := handshake(t, vmm.ServerConfig(false), operator.ClientConfig()); err != nil {
		t.Errorf("an operator was rejected: %v", err)
	}
}

// TestChangedFilesAreReloaded replaces the files of an identity. The new identity must be used,
// and must stay in use when a later change leaves the files incomplete.
func TestChangedFilesAreReloaded(t *testing.T) {
	aut, dir := newAuthority(t), t.TempDir()
	fls := aut.issue(t, dir, VMName, 5)
	rel := newReloader(t, fls)
	aut.issue(t, dir, VMName, 6)
	later := time.Now().Add(time.Minute)
	if err := os.Chtimes(fls.Certificate, later, later); err != nil {
		t.Fatal(err)
	}
	rel.lastCheck = time.Time{}
	cert, err := handshake(t, rel.ServerConfig(true), rel.ClientConfig())
	if err != nil || cert.SerialNumber.Int64() != 6 {
		t.Errorf("got %v, %v", cert, err)
	}
	// An incomplete change must leave the old identity in use.
	if err := os.WriteFile(fls.Key, []byte("half"), 0o600); err != nil {
		t.Fatal(err)
	}
	later = later.Add(time.Minute)
	if err := os.Chtimes(fls.Key, later, later); err != nil {
		t.Fatal(err)
	}
	rel.lastCheck = time.Time{}
	if _, err := handshake(t, rel.ServerConfig(true), rel.ClientConfig()); err != nil {
		t.Error(err)
	}
}

// TestFilesReplacedDuringLoadAreReloaded replaces the certificate and its key after they
// were read and before New returns. A named pipe in place of the authority's file delays
// New until then.
func TestFilesReplacedDuringLoadAreReloaded(t *testing.T) {
	aut, dir := newAuthority(t), t.TempDir()
	fls := aut.issue(t, dir, VMName, 7)
	if err := os.Remove(fls.Authority); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Mkfifo(fls.Authority, 0o600); err != nil {
		t.Fatal(err)
	}
	loaded := make(chan *Reloader, 1)
	go func() {
		rel, err := New(fls)
		if err != nil {
			t.Error(err)
		}
		loaded <- rel
	}()
	pipe, err := os.OpenFile(fls.Authority, os.O_WRONLY, 0) // Blocks until New opens the pipe for reading.
	if err != nil {
		t.Fatal(err)
	}
	if err := os.Remove(fls.Authority); err != nil {
		t.Fatal(err)
	}
	aut.issue(t, dir, VMName, 8)
	later := time.Now().Add(time.Minute)
	for _, file := range []string{fls.Certificate, fls.Key} {
		if err := os.Chtimes(file, later, later); err != nil {
			t.Fatal(err)
		}
	}
	if err := pem.Encode(pipe, &pem.Block{Type: "CERTIFICATE", Bytes: aut.raw}); err != nil {
		t.Fatal(err)
	}
	if err := pipe.Close(); err != nil {
		t.Fatal(err)
	}
	rel := <-loaded
	if rel == nil {
		t.FailNow()
	}
	cert, err := handshake(t, rel.ServerConfig(true), rel.ClientConfig())
	if err != nil {
		t.Fatal(err)
	}
	if got := cert.SerialNumber.Int64(); got != 8 {
		t.Errorf("the certificate with serial %d is in use, want 8", got)
	}
}

// TestMissingFilesAreRejected names files that don't exist: New must return an error rather than
// an identity without a certificate.
func TestMissingFilesAreRejected(t *testing.T) {
	if _, err := New(Files{Certificate: "/no/such", Key: "/no/such"}); err == nil {
		t.Error("missing files were accepted")
	}
}
