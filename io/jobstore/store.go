package jobstore

import (
	"context"
	"encoding/json"
	"time"

	"tarragonwalk/core/configuration"
	"tarragonwalk/core/fault"
	"tarragonwalk/io/objectstore"
)

// objects is the part of the object store's client that Store uses.
type objects interface {
	Get(ctx context.Context, key string) (value []byte, version int64, err error)
	Put(ctx context.Context, key string, value []byte, ifVersion int64) (version int64, err error)
	Delete(ctx context.Context, key string, ifVersion int64) error
	List(ctx context.Context, prefix, after string, limit int) (entries []objectstore.Entry, revision int64, err error)
	Watch(ctx context.Context, prefix string, since int64, until time.Time) (changes []objectstore.Change, revision int64, err error)
}

const (
	// pageLimit is the number of keys asked for in one listing.
	pageLimit = 1000
	// writeAttempts bounds the attempts of a write whose outcome is unknown.
	writeAttempts = 3
)

// rates returns the recent rate of a deployment in items per second, or false while it is unknown.
type rates interface {
	ItemRate(deployment string) (perSecond float64, known bool)
}

// Store reads and writes batch files, jobs and results.
type Store struct {
	objects objects
	limits  func() configuration.BatchDefaults
	now     func() time.Time
	rates   rates
}

// New returns a store; limits returns the current batch limits and now the time.
func New(o objects, limits func() configuration.BatchDefaults, now func() time.Time) *Store {
	return &Store{
		objects: o,
		limits:  limits,
		now:     now,
	}
}

// UseRates makes Submit refuse jobs that cannot end before their deadline at the rate of their deployment. It must be
// called before the first Submit.
func (s *Store) UseRates(r rates) {
	s.rates = r
}

// get reads and decodes a record.
func (s *Store) get(ctx context.Context, key string, into any) (int64, error) {
	value, version, err := s.objects.Get(ctx, key)
	if err != nil {
		return 0, err
	}
	if err := json.Unmarshal(value, into); err != nil {
		return 0, fault.Wrap(err, fault.CodeInternal, "decode "+key)
	}

	return version, nil
}

// create writes a write-once value. It returns false without an error if the key exists. Repeating a write whose outcome is
// unknown is safe here: at worst, the repeat finds the value that the first attempt wrote.
func (s *Store) create(ctx context.Context, key string, value []byte) (bool, error) {
	var err error
	for range writeAttempts {
		_, err = s.objects.Put(ctx, key, value, 0)
		switch fault.CodeOf(err) {
		case "":
			return true, nil
		case fault.CodeConflict:
			return false, nil
		case fault.CodeOutcomeUnknown:
		default:
			return false, err
		}
	}

	return false, err
}

// list returns the entries below a prefix and the revision of the first page.
func (s *Store) list(ctx context.Context, prefix string) ([]objectstore.Entry, int64, error) {
	var all []objectstore.Entry
	var first int64
	after := ""
	for {
		page, revision, err := s.objects.List(ctx, prefix, after, pageLimit)
		if err != nil {
			return nil, 0, err
		}
		if after == "" {
			first = revision
		}
		all = append(all, page...)
		if len(page) < pageLimit {
			return all, first, nil
		}
		after = page[len(page)-1].Key
	}
}

// notRun turns a store failure before the commit point into code not_run, which informs the caller that nothing was accepted.
func notRun(err error) error {
	if fault.CodeOf(err) == fault.CodeStoreUnavailable || fault.CodeOf(err) == fault.CodeOutcomeUnknown {
		return fault.Wrap(err, fault.CodeNotRun, "store is unavailable, nothing was accepted")
	}

	return err
}
