package configstore

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"tarragonwalk/core/configuration"
	"tarragonwalk/core/fault"
	"tarragonwalk/io/objectstore"
)

const (
	prefix = "config/v/"
	// keepVersions is the number of latest versions that are kept in the store.
	keepVersions = 50
	// pollTime bounds one watch. With the listing that follows, a new version is applied within the target of 4 s.
	pollTime = 2 * time.Second
	// retryMean is the mean pause after a failed call.
	retryMean = 500 * time.Millisecond
	fileName  = "configuration.json"
)

type objects interface {
	Get(ctx context.Context, key string) (value []byte, version int64, err error)
	Put(ctx context.Context, key string, value []byte, ifVersion int64) (version int64, err error)
	Delete(ctx context.Context, key string, ifVersion int64) error
	List(ctx context.Context, prefix, after string, limit int) (entries []objectstore.Entry, revision int64, err error)
	Watch(ctx context.Context, prefix string, since int64, until time.Time) (changes []objectstore.Change, revision int64, err error)
}

// Store appends and follows configuration versions; its methods may be called concurrently.
type Store struct {
	objects objects
	holder  *configuration.Holder
	folder  string
	log     *slog.Logger

	// fileLock serializes writes of the local copy, so that an older version never replaces a newer one.
	fileLock     sync.Mutex
	savedVersion int
}

// New returns a store that applies versions to holder and keeps a local copy of the latest one in folder, unless folder is
// empty.
func New(o *objectstore.Client, holder *configuration.Holder, folder string, log *slog.Logger) *Store {
	return &Store{
		objects: o,
		holder:  holder,
		folder:  folder,
		log:     log,
	}
}

func keyOf(version int) string {
	return fmt.Sprintf("%s%012d", prefix, version)
}

func (s *Store) version() int {
	if c := s.holder.Current(); c != nil {
		return c.Version
	}

	return 0
}

// Append creates the version after p.BaseVersion; a resend with the same Operation returns the same version.
func (s *Store) Append(ctx context.Context, p configuration.Patch) (*configuration.Configuration, error) {
	if p.Operation == "" {
		p.Operation = uuid.NewString()
	}
	if _, err := s.refresh(ctx); err != nil {
		return nil, err
	}
	// A listing may not show the base version of the patch yet, so it is read by its key.
	if p.BaseVersion > s.version() {
		c, err := s.load(ctx, keyOf(p.BaseVersion))
		if fault.CodeOf(err) == fault.CodeNotFound {
			return nil, configuration.Stale(s.version())
		}
		if err != nil {
			return nil, err
		}
		s.apply(c)
	}
	// Read once, since the holder may change at any time. Whether to refuse the patch is decided in earlierResult.
	current := s.holder.Current()
	if current != nil && p.BaseVersion < current.Version {
		return s.earlierResult(ctx, p)
	}
	c, err := configuration.ApplyPatch(current, p)
	if err != nil {
		return nil, err
	}
	value, err := json.Marshal(c)
	if err != nil {
		return nil, fault.Wrap(err, fault.CodeInternal, "encode the configuration")
	}
	_, err = s.objects.Put(ctx, keyOf(c.Version), value, 0)
	if fault.CodeOf(err) == fault.CodeConflict {
		if _, err := s.refresh(ctx); err != nil {
			return nil, err
		}

		return s.earlierResult(ctx, p)
	}
	if err != nil {
		return nil, err
	}
	s.apply(c)
	s.prune(ctx, c.Version-keepVersions)

	return c, nil
}

// earlierResult returns the version that an earlier attempt of the same operation created, or an error for a stale patch. It
// compares the operation of the version after the patch's base, which it reads by key, since a listing may not show it yet.
func (s *Store) earlierResult(ctx context.Context, p configuration.Patch) (*configuration.Configuration, error) {
	c, err := s.load(ctx, keyOf(p.BaseVersion+1))
	if err != nil && fault.CodeOf(err) != fault.CodeNotFound {
		return nil, err
	}
	if err == nil {
		s.apply(c)
		if c.Operation == p.Operation {
			return c, nil
		}
	}

	return nil, configuration.Stale(s.version())
}

// prune deletes a version that is no longer kept; a failure is only logged, since it leaves just an unused object.
func (s *Store) prune(ctx context.Context, version int) {
	if version < 1 {
		return
	}
	if err := s.objects.Delete(ctx, keyOf(version), 0); err != nil {
		s.log.Info("old configuration version not deleted", "version", version, "error", err)
	}
}

func (s *Store) load(ctx context.Context, key string) (*configuration.Configuration, error) {
	value, _, err := s.objects.Get(ctx, key)
	if err != nil {
		return nil, err
	}
	c, err := configuration.Decode(value)
	if err != nil {
		return nil, err
	}
	if keyOf(c.Version) != key {
		return nil, fault.New(fault.CodeInternal, "object "+key+" holds version "+strconv.Itoa(c.Version))
	}

	return c, nil
}

// refresh applies the highest version in the store and returns the revision to watch from.
func (s *Store) refresh(ctx context.Context) (int64, error) {
	entries, revision, err := s.objects.List(ctx, prefix, keyOf(s.version()), 0)
	if err != nil || len(entries) == 0 {
		return revision, err
	}
	c, err := s.load(ctx, entries[len(entries)-1].Key)
	if err != nil {
		return 0, err
	}
	s.apply(c)

	return revision, nil
}

func (s *Store) apply(c *configuration.Configuration) {
	s.holder.Apply(c)
	if err := s.save(c); err != nil {
		s.log.Warn("configuration copy not written", "version", c.Version, "error", err)
	}
}

// Follow returns once a configuration is loaded from the store or the local copy, and applies new versions in the background
// until ctx ends.
func (s *Store) Follow(ctx context.Context) {
	if c, err := s.restore(); err == nil {
		s.holder.Apply(c)
	} else if !os.IsNotExist(err) {
		s.log.Warn("configuration copy not read", "error", err)
	}
	loaded := make(chan struct{})
	var once sync.Once
	ready := func() { once.Do(func() { close(loaded) }) }
	if s.holder.Current() != nil {
		ready()
	}
	go s.follow(ctx, ready)
	go s.copyChanges(ctx)
	select {
	case <-loaded:
	case <-ctx.Done():
	}
}

// follow lists before each watch, so that a watch that misses a change delays the version by one poll at most.
func (s *Store) follow(ctx context.Context, ready func()) {
	for ctx.Err() == nil {
		revision, err := s.refresh(ctx)
		if err == nil {
			ready()
			_, _, err = s.objects.Watch(ctx, prefix, revision, time.Now().Add(pollTime))
		}
		if err == nil || fault.CodeOf(err) == fault.CodeStaleVersion {
			continue
		}
		s.log.Debug("cannot poll for configuration versions", "error", err)
		t := time.NewTimer(retryMean/2 + rand.N(retryMean))
		select {
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// copyChanges also writes versions to the local copy that the holder receives from a peer.
func (s *Store) copyChanges(ctx context.Context) {
	for {
		changed := s.holder.Changed()
		if c := s.holder.Current(); c != nil {
			if err := s.save(c); err != nil {
				s.log.Warn("configuration copy not written", "version", c.Version, "error", err)
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (s *Store) restore() (*configuration.Configuration, error) {
	if s.folder == "" {
		return nil, os.ErrNotExist
	}
	value, err := os.ReadFile(filepath.Join(s.folder, fileName))
	if err != nil {
		return nil, err
	}

	return configuration.Decode(value)
}

// save atomically replaces the local copy if c has a higher version.
func (s *Store) save(c *configuration.Configuration) error {
	if s.folder == "" {
		return nil
	}
	s.fileLock.Lock()
	defer s.fileLock.Unlock()
	if c.Version <= s.savedVersion {
		return nil
	}
	value, err := json.Marshal(c)
	if err != nil {
		return err
	}
	f, err := os.CreateTemp(s.folder, strings.TrimSuffix(fileName, ".json")+"-*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name()) //nolint:errcheck // The file is gone after the rename.
	_, err = f.Write(value)
	if err == nil {
		err = f.Sync()
	}
	if e := f.Close(); err == nil {
		err = e
	}
	if err == nil {
		err = os.Rename(f.Name(), filepath.Join(s.folder, fileName))
	}
	if err == nil {
		s.savedVersion = c.Version
	}

	return err
}
