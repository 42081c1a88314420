package certificate

import (
	"crypto/tls"
	"log/slog"
	"net"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"tarragonwalk/core/fault"
)

// checkInterval is the minimum time between checks for changed files.
const checkInterval = 10 * time.Second

// Reloader holds the certificate of a pair of files. Its lock guards all fields.
type Reloader struct {
	certificateFile string
	keyFile         string
	clock           func() time.Time
	log             *slog.Logger

	lock     sync.Mutex
	current  *tls.Certificate
	modTime  time.Time // modification time of the newer file
	checkAt  time.Time
	interval time.Duration
}

// New reads the certificate; a failure has code invalid.
func New(certificateFile, keyFile string, clock func() time.Time, log *slog.Logger) (*Reloader, error) {
	r := &Reloader{
		certificateFile: certificateFile,
		keyFile:         keyFile,
		clock:           clock,
		log:             log,
		interval:        checkInterval,
	}
	modTime, err := r.newestModTime()
	if err != nil {
		return nil, err
	}
	if err := r.load(modTime); err != nil {
		return nil, err
	}
	r.checkAt = clock().Add(r.interval)

	return r, nil
}

// Listen returns a listener that accepts TLS connections on l.
func (r *Reloader) Listen(l net.Listener) net.Listener {
	return tls.NewListener(l, &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: r.certificate,
	})
}

// certificate returns the current certificate. If the files cannot be loaded, the earlier certificate stays in use, since
// the two files are rarely replaced in one step.
func (r *Reloader) certificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	r.lock.Lock()
	defer r.lock.Unlock()
	now := r.clock()
	if now.Before(r.checkAt) {
		return r.current, nil
	}
	r.checkAt = now.Add(r.interval)
	modTime, err := r.newestModTime()
	if err == nil && modTime.Equal(r.modTime) {
		return r.current, nil
	}
	if err == nil {
		err = r.load(modTime)
	}
	if err != nil {
		r.log.Warn("certificate not reloaded, the earlier one stays in use", "file", r.certificateFile, "error", err)
	} else {
		r.log.Info("certificate reloaded", "file", r.certificateFile)
	}

	return r.current, nil
}

func (r *Reloader) load(modTime time.Time) error {
	c, err := tls.LoadX509KeyPair(r.certificateFile, r.keyFile)
	if err != nil {
		return fault.Wrap(eris.Wrap(err, "read certificate"), fault.CodeInvalid, "the certificate or its key cannot be used")
	}
	r.current, r.modTime = &c, modTime

	return nil
}

func (r *Reloader) newestModTime() (time.Time, error) {
	newest := time.Time{}
	for _, name := range []string{r.certificateFile, r.keyFile} {
		info, err := os.Stat(name)
		if err != nil {
			return newest, fault.Wrap(err, fault.CodeInvalid, "the certificate or its key cannot be read")
		}
		if info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}

	return newest, nil
}
