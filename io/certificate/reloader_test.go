package certificate

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"log/slog"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/fault"
)

// writePair writes a new self-signed certificate with a name.
func writePair(t *testing.T, folder, name string, modified time.Time) (certificateFile, keyFile string) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject: pkix.Name{
			CommonName: name,
		},
		NotAfter:    time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	secret, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	certificateFile, keyFile = filepath.Join(folder, "tls.crt"), filepath.Join(folder, "tls.key")
	for path, block := range map[string]*pem.Block{
		certificateFile: {Type: "CERTIFICATE", Bytes: der},
		keyFile:         {Type: "EC PRIVATE KEY", Bytes: secret},
	} {
		if err := os.WriteFile(path, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Chtimes(path, modified, modified); err != nil {
			t.Fatal(err)
		}
	}

	return certificateFile, keyFile
}

func servedName(t *testing.T, address string) string {
	t.Helper()
	c, err := tls.Dial("tcp", address, &tls.Config{
		InsecureSkipVerify: true, //nolint:gosec // the test looks at the name only
	})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()

	return c.ConnectionState().PeerCertificates[0].Subject.CommonName
}

// Guards against a renewed certificate that needs a restart, and against a broken one that stops the service.
func TestReload(t *testing.T) {
	is := is.New(t)
	folder, now := t.TempDir(), time.Now()
	certificateFile, keyFile := writePair(t, folder, "first", now)
	clock := now
	r, err := New(certificateFile, keyFile, func() time.Time { return clock }, slog.New(slog.DiscardHandler))
	is.NoErr(err)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l := r.Listen(inner)
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_ = c.(*tls.Conn).Handshake()
			}()
		}
	}()
	is.Equal(servedName(t, l.Addr().String()), "first")
	writePair(t, folder, "second", now.Add(time.Second))
	clock = clock.Add(checkInterval)
	is.Equal(servedName(t, l.Addr().String()), "second")
	is.NoErr(os.WriteFile(keyFile, []byte("broken"), 0o600))
	is.NoErr(os.Chtimes(keyFile, now.Add(2*time.Second), now.Add(2*time.Second)))
	clock = clock.Add(checkInterval)
	is.Equal(servedName(t, l.Addr().String()), "second")
}

func TestNewRefusesMissingFiles(t *testing.T) {
	is := is.New(t)
	_, err := New("absent.crt", "absent.key", time.Now, slog.New(slog.DiscardHandler))
	is.Equal(fault.CodeOf(err), fault.CodeInvalid)
}
