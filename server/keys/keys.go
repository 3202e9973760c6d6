// Package keys holds the TLS keys between the system's own processes: every
// process shows a certificate of the system's authority and asks its peers for
// one. Key files are read again when they change.
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

// ServerName is the name that every process's certificate carries; instances
// have no stable host names.
const ServerName = "persimmonwind"

// checkInterval is the least time between two looks at the key files.
const checkInterval = 5 * time.Second

// Files names the PEM files of a process.
type Files struct {
	Certificate string `json:"certificate" doc:"PEM file with the certificate of this process, for the name persimmonwind."`
	Key         string `json:"key" doc:"PEM file with the certificate's private key."`
	Authority   string `json:"authority" doc:"PEM file with the certificates of the system's authority."`
}

// IsSet reports whether any file is named.
func (f Files) IsSet() bool { return f != Files{} }

// Keys is one process's key, its certificate and the system's authority.
type Keys struct {
	Certificate tls.Certificate
	Authority   *x509.CertPool
}

// Source gives the keys in force.
type Source interface {
	// Current returns the keys for a new connection.
	Current() (*Keys, error)
}

// StaticSource is a Source of keys that never change.
type StaticSource struct{ Keys *Keys }

// Current implements Source.
func (f StaticSource) Current() (*Keys, error) { return f.Keys, nil }

// Reloader is a Source that reads its files again when one has changed.
type Reloader struct {
	files Files

	mu       sync.Mutex
	keys     *Keys
	modified [3]time.Time
	checked  time.Time
}

// NewReloader reads the files once; an error names the file.
func NewReloader(files Files) (*Reloader, error) {
	r := &Reloader{files: files}
	keys, err := load(files)
	if err != nil {
		return nil, err
	}
	r.keys, r.modified, r.checked = keys, modificationTimes(files), time.Now()
	return r, nil
}

// Current implements Source. Files that can't be read leave the keys as they
// are.
func (r *Reloader) Current() (*Keys, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := time.Now(); now.Sub(r.checked) >= checkInterval {
		r.checked = now
		r.reload()
	}
	return r.keys, nil
}

func (r *Reloader) reload() {
	modified := modificationTimes(r.files)
	if modified == r.modified {
		return
	}
	keys, err := load(r.files)
	if err != nil {
		return
	}
	r.keys, r.modified = keys, modified
}

func modificationTimes(files Files) (times [3]time.Time) {
	for i, path := range []string{files.Certificate, files.Key, files.Authority} {
		if info, err := os.Stat(path); err == nil {
			times[i] = info.ModTime()
		}
	}
	return times
}

func load(files Files) (*Keys, error) {
	certificate, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return nil, fmt.Errorf("load key pair %q, %q: %w", files.Certificate, files.Key, err)
	}
	text, err := os.ReadFile(files.Authority)
	if err != nil {
		return nil, fmt.Errorf("load authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, fmt.Errorf("load authority: file %q holds no PEM certificate", files.Authority)
	}
	return &Keys{Certificate: certificate, Authority: pool}, nil
}

// ServerConfig returns the configuration of a server that takes connections
// of the system's own processes only.
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

var errNoPeerCertificate = errors.New("peer shows no certificate")

// ClientConfig returns the configuration of a client that calls the system's
// own processes only.
func ClientConfig(source Source) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ServerName: ServerName,
		// The authority may change while the process runs, so the certificate is
		// verified against the keys in force instead of a fixed pool.
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
