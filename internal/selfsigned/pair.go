// Package selfsigned writes self-signed certificates for tests.
package selfsigned

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"tarragonwalk/core/fault"
)

const ownerOnly = 0o600

// Pair is a certificate for 127.0.0.1 and its key in PEM files.
type Pair struct {
	CertificateFile string
	KeyFile         string
}

// Write creates a pair with the given common name in a folder and sets the modification time of both files.
func Write(folder, name string, modified time.Time) (Pair, error) {
	p := Pair{
		CertificateFile: filepath.Join(folder, "tls.crt"),
		KeyFile:         filepath.Join(folder, "tls.key"),
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return p, fault.Wrap(err, fault.CodeInternal, "cannot generate a key")
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: name},
		NotAfter:              time.Now().Add(time.Hour),
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA:                  true,
		BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return p, fault.Wrap(err, fault.CodeInternal, "cannot create a certificate")
	}
	secret, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return p, fault.Wrap(err, fault.CodeInternal, "cannot encode a key")
	}
	if err := writePEM(p.CertificateFile, "CERTIFICATE", der, modified); err != nil {
		return p, err
	}

	return p, writePEM(p.KeyFile, "EC PRIVATE KEY", secret, modified)
}

func writePEM(path, kind string, der []byte, modified time.Time) error {
	block := &pem.Block{
		Type:  kind,
		Bytes: der,
	}
	if err := os.WriteFile(path, pem.EncodeToMemory(block), ownerOnly); err != nil {
		return fault.Wrap(err, fault.CodeInternal, "cannot write "+path)
	}
	if err := os.Chtimes(path, modified, modified); err != nil {
		return fault.Wrap(err, fault.CodeInternal, "cannot write "+path)
	}

	return nil
}
