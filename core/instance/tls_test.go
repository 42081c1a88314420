package instance_test

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/internal/fleet"
	"tarragonwalk/internal/selfsigned"
	"tarragonwalk/io/apiclient"
	"tarragonwalk/io/standin/engine"
)

// Guards against streams that do not work over TLS, and against a slot that stays taken after the caller has closed a TLS
// connection: the close alert that it sends must not be taken for its next request.
func TestTLS(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startFleet(t, 1)
	pair, err := selfsigned.Write(t.TempDir(), "entry-3", time.Now())
	is.NoErr(err)
	is.NoErr(f.StartSecureInstance("entry-3", zone, region, pair))
	is.NoErr(f.AwaitVersion(1))
	text, err := os.ReadFile(pair.CertificateFile)
	is.NoErr(err)
	roots := x509.NewCertPool()
	is.True(roots.AppendCertsFromPEM(text))
	address := f.Instances["entry-3"].CallerAddress().String()
	c := apiclient.New("https://"+address, keyA)
	_, err = c.Get("/v1/models")
	is.True(err != nil) // the certificate is not trusted yet
	c.TrustRoots(roots)
	r, body := newRequest("A note by TLS", 20)
	answer, err := stream(c, body, "r-1", nil)
	is.NoErr(err)
	want, _, _ := engine.Answer(r)
	is.Equal(answer, want)

	raw, err := tls.Dial("tcp", address, &tls.Config{RootCAs: roots})
	is.NoErr(err)
	long := `{"model":"drafting","messages":[{"role":"user","content":"A whole catalogue"}],"max_tokens":4000}`
	_, err = fmt.Fprintf(raw, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n"+
		"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", keyA, len(long), long)
	is.NoErr(err)
	running := func() bool {
		n, _ := f.Engines["e-1"].Running()

		return n > 0
	}
	is.NoErr(fleet.Await(running))
	is.NoErr(raw.Close())
	giveUpAt := time.Now().Add(3 * time.Second)
	for running() {
		is.True(time.Now().Before(giveUpAt)) // 2,000 tokens or more would take 4 s
		time.Sleep(20 * time.Millisecond)
	}
}
