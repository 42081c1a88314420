package certificate

import (
	"crypto/tls"
	"log/slog"
	"net"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/fault"
	"tarragonwalk/internal/selfsigned"
)

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

// Guards against a renewed certificate that takes effect only after a restart, and against a broken one that stops the
// service.
func TestReload(t *testing.T) {
	is := is.New(t)
	folder, now := t.TempDir(), time.Now()
	p, err := selfsigned.Write(folder, "first", now)
	is.NoErr(err)
	clock := now
	r, err := New(p.CertificateFile, p.KeyFile, func() time.Time { return clock }, slog.New(slog.DiscardHandler))
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
	_, err = selfsigned.Write(folder, "second", now.Add(time.Second))
	is.NoErr(err)
	clock = clock.Add(checkInterval)
	is.Equal(servedName(t, l.Addr().String()), "second")
	is.NoErr(os.WriteFile(p.KeyFile, []byte("broken"), 0o600))
	is.NoErr(os.Chtimes(p.KeyFile, now.Add(2*time.Second), now.Add(2*time.Second)))
	clock = clock.Add(checkInterval)
	is.Equal(servedName(t, l.Addr().String()), "second")
}

func TestNewRefusesMissingFiles(t *testing.T) {
	is := is.New(t)
	_, err := New("absent.crt", "absent.key", time.Now, slog.New(slog.DiscardHandler))
	is.Equal(fault.CodeOf(err), fault.CodeInvalid)
}
