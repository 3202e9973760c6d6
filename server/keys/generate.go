package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"os"
	"path/filepath"
	"time"
)

const (
	validity     = 365 * 24 * time.Hour
	clockSkew    = time.Hour
	keyFileMode  = 0o600
	serialNumber = 1
)

// GeneratedKeys contains a new certificate authority and one key pair with its
// certificate for all processes, as PEM data.
type GeneratedKeys struct {
	CertificatePEM []byte
	KeyPEM         []byte
	AuthorityPEM   []byte
}

// Generate generates a certificate authority and a certificate signed by it, for
// development and tests.
func Generate() (GeneratedKeys, error) {
	now := time.Now()
	authority := &x509.Certificate{
		SerialNumber:          big.NewInt(serialNumber),
		Subject:               pkix.Name{CommonName: ServerName + " authority"},
		NotBefore:             now.Add(-clockSkew),
		NotAfter:              now.Add(validity),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	authorityKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return GeneratedKeys{}, fmt.Errorf("generate authority key: %w", err)
	}
	authorityDER, err := x509.CreateCertificate(rand.Reader, authority, authority, &authorityKey.PublicKey, authorityKey)
	if err != nil {
		return GeneratedKeys{}, fmt.Errorf("create authority certificate: %w", err)
	}
	return generateLeaf(authority, authorityKey, authorityDER)
}

// generateLeaf generates the certificate that all processes present, signed by
// the authority.
func generateLeaf(authority *x509.Certificate, authorityKey *ecdsa.PrivateKey, authorityDER []byte) (GeneratedKeys, error) {
	leaf := &x509.Certificate{
		SerialNumber: big.NewInt(serialNumber + 1),
		Subject:      pkix.Name{CommonName: ServerName},
		DNSNames:     []string{ServerName},
		NotBefore:    authority.NotBefore,
		NotAfter:     authority.NotAfter,
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return GeneratedKeys{}, fmt.Errorf("generate key: %w", err)
	}
	der, err := x509.CreateCertificate(rand.Reader, leaf, authority, &key.PublicKey, authorityKey)
	if err != nil {
		return GeneratedKeys{}, fmt.Errorf("create certificate: %w", err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return GeneratedKeys{}, fmt.Errorf("encode key: %w", err)
	}
	return GeneratedKeys{
		CertificatePEM: encodePEM("CERTIFICATE", der),
		KeyPEM:         encodePEM("PRIVATE KEY", keyDER),
		AuthorityPEM:   encodePEM("CERTIFICATE", authorityDER),
	}, nil
}

func encodePEM(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}

// Keys returns the certificate, key and authority parsed from the PEM data.
func (g GeneratedKeys) Keys() (*Keys, error) {
	certificate, err := tls.X509KeyPair(g.CertificatePEM, g.KeyPEM)
	if err != nil {
		return nil, fmt.Errorf("load generated keys: %w", err)
	}
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(g.AuthorityPEM)
	return &Keys{Certificate: certificate, Authority: pool}, nil
}

// Write writes the certificate, the key and the authority as three PEM files
// into the directory and returns their paths.
func (g GeneratedKeys) Write(dir string) (Files, error) {
	files := Files{
		Certificate: filepath.Join(dir, "certificate.pem"),
		Key:         filepath.Join(dir, "key.pem"),
		Authority:   filepath.Join(dir, "authority.pem"),
	}
	bodies := map[string][]byte{
		files.Certificate: g.CertificatePEM,
		files.Key:         g.KeyPEM,
		files.Authority:   g.AuthorityPEM,
	}
	for path, body := range bodies {
		if err := os.WriteFile(path, body, keyFileMode); err != nil {
			return Files{}, fmt.Errorf("write keys: %w", err)
		}
	}
	return files, nil
}
