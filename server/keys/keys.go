// Package keys provides the TLS configuration for connections between the
// system's own processes. Each process presents a certificate issued by the
// system's certificate authority and requires one of its peers (mutual TLS). Key
// files are reloaded when they change.
package keys

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

// ServerName is the DNS name in the certificates of all processes. It is the same
// for all because instances have no stable host names.
const ServerName = "persimmonwind"

// checkInterval is the minimum time between two checks of the key files.
const checkInterval = 5 * time.Second

// Files contains the paths of the PEM files of a process.
type Files struct {
	Certificate string `json:"certificate" doc:"PEM file with the certificate of this process, for the name persimmonwind."`
	Key         string `json:"key" doc:"PEM file with the certificate's private key."`
	Authority   string `json:"authority" doc:"PEM file with the certificates of the system's authority."`
}

// IsSet reports whether any path is set.
func (f Files) IsSet() bool { return f != Files{} }

// Keys contains the certificate and private key of a process, and the
// certificates of the system's authority.
type Keys struct {
	Certificate tls.Certificate
	Authority   *x509.CertPool
}

// Source provides the TLS keys in force, which may change while the process runs.
type Source interface {
	// Current returns the keys for a new connection.
	Current() (*Keys, error)
}

// StaticSource is a Source whose keys never change.
type StaticSource struct{ Keys *Keys }

func (f StaticSource) Current() (*Keys, error) { return f.Keys, nil }

// Reloader is a Source that reloads its files when one of them has changed.
type Reloader struct {
	files Files

	mu         sync.Mutex
	keys       *Keys
	modifiedAt [3]time.Time // Modification times of the loaded files.
	checkedAt  time.Time    // Time of the last check for changed files.
}

// NewReloader loads the files and returns a Reloader for them. The error names
// the file that could not be loaded.
func NewReloader(files Files) (*Reloader, error) {
	r := &Reloader{files: files}
	keys, err := loadKeys(files)
	if err != nil {
		return nil, err
	}
	r.keys, r.modifiedAt, r.checkedAt = keys, modificationTimes(files), time.Now()
	return r, nil
}

// Current returns the keys, reloaded if a file has changed. If the changed files
// can't be loaded, the previous keys stay in force.
func (r *Reloader) Current() (*Keys, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := time.Now(); now.Sub(r.checkedAt) >= checkInterval {
		r.checkedAt = now
		r.reload()
	}
	return r.keys, nil
}

func (r *Reloader) reload() {
	modifiedAt := modificationTimes(r.files)
	if modifiedAt == r.modifiedAt {
		return
	}
	keys, err := loadKeys(r.files)
	if err != nil {
		return
	}
	r.keys, r.modifiedAt = keys, modifiedAt
}

func modificationTimes(files Files) (times [3]time.Time) {
	for i, path := range []string{files.Certificate, files.Key, files.Authority} {
		if info, err := os.Stat(path); err == nil {
			times[i] = info.ModTime()
		}
	}
	return times
}

func loadKeys(files Files) (*Keys, error) {
	certificate, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return nil, fmt.Errorf("load key pair %q, %q: %w", files.Certificate, files.Key, err)
	}
	authorityPEM, err := os.ReadFile(files.Authority)
	if err != nil {
		return nil, fmt.Errorf("load authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authorityPEM) {
		return nil, fmt.Errorf("load authority: file %q contains no PEM certificate", files.Authority)
	}
	return &Keys{Certificate: certificate, Authority: pool}, nil
}

// ServerConfig returns the TLS configuration of a server that accepts
// connections only from the system's own processes.
func ServerConfig(source Source) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			keys, err := source.Current()
			if err != nil {
				return nil, err
			}
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{keys.Certificate},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    keys.Authority,
			}, nil
		},
	}
}

var errNoPeerCertificate = errors.New("peer presented no certificate")

// ClientConfig returns the TLS configuration of a client that connects only to
// the system's own processes.
func ClientConfig(source Source) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ServerName: ServerName,
		// The authority may change while the process runs, so VerifyConnection
		// verifies the certificate against the keys in force instead of a fixed pool.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyServer(source, state)
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			keys, err := source.Current()
			if err != nil {
				return nil, err
			}
			return &keys.Certificate, nil
		},
	}
}

// verifyServer verifies the server's certificate chain against the authority in
// force.
func verifyServer(source Source, state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errNoPeerCertificate
	}
	keys, err := source.Current()
	if err != nil {
		return err
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err = state.PeerCertificates[0].Verify(x509.VerifyOptions{
		DNSName: ServerName, Roots: keys.Authority, Intermediates: intermediates,
	})
	return err
}
