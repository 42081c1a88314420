package jobstore

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"io"
	"os"

	"tarragonwalk/core/fault"
	"tarragonwalk/core/job"
)

// lineBytes bounds one input line. It is below the 1 MB limit of a stored value, as a line is stored in one chunk.
const lineBytes = 512 << 10

// PutFile checks and stores a JSONL input and returns its description; it makes one call per chunk and at most two more.
// The input is kept in a temporary file while its identity, on which the keys depend, is computed.
func (s *Store) PutFile(ctx context.Context, workspace, name string, r io.Reader) (job.File, error) {
	spool, err := os.CreateTemp("", "tarragonwalk-file-*")
	if err != nil {
		return job.File{}, fault.Wrap(err, fault.CodeInternal, "create a temporary file")
	}
	defer func() {
		_ = spool.Close()
		_ = os.Remove(spool.Name())
	}()
	l := s.limits()
	p := job.Splitter{
		ChunkItems: l.ChunkItems,
		ChunkBytes: l.ChunkBytes,
		MaxItems:   l.MaxItems,
		LineBytes:  lineBytes,
	}
	h := sha256.New()
	f, err := p.Split(r, func(_ int, data []byte) error {
		if _, err := io.MultiWriter(h, spool).Write(data); err != nil {
			return fault.Wrap(err, fault.CodeInternal, "write a temporary file")
		}

		return nil
	})
	if err != nil {
		return job.File{}, err
	}
	f.ID = job.FileID(workspace, [sha256.Size]byte(h.Sum(nil)))
	f.Workspace = workspace
	f.Name = name
	f.CreatedAt = s.now().UTC()

	return s.storeFile(ctx, f, spool)
}

// storeFile writes the chunks and then the metadata. A file with the same content keeps its first description, whose
// chunk limits may differ, so the existing metadata is read first.
func (s *Store) storeFile(ctx context.Context, f job.File, content io.ReaderAt) (job.File, error) {
	found, err := s.GetFile(ctx, f.Workspace, f.ID)
	if err == nil || fault.CodeOf(err) != fault.CodeNotFound {
		return found, notRun(err)
	}
	offset := int64(0)
	for _, c := range f.Chunks {
		data := make([]byte, c.Bytes)
		if _, err := content.ReadAt(data, offset); err != nil {
			return job.File{}, fault.Wrap(err, fault.CodeInternal, "read a temporary file")
		}
		offset += int64(c.Bytes)
		// A chunk that exists is from another upload of the same content.
		if _, err := s.create(ctx, job.FileChunkKey(f.Workspace, f.ID, c), data); err != nil {
			return job.File{}, notRun(err)
		}
	}
	value, err := json.Marshal(f)
	if err != nil {
		return job.File{}, fault.Wrap(err, fault.CodeInternal, "encode the file")
	}
	created, err := s.create(ctx, job.FileKey(f.Workspace, f.ID), value)
	if err != nil {
		return job.File{}, notRun(err)
	}
	if !created {
		return s.GetFile(ctx, f.Workspace, f.ID)
	}

	return f, nil
}

// GetFile returns a file's description; it makes one call.
func (s *Store) GetFile(ctx context.Context, workspace, id string) (job.File, error) {
	var f job.File
	_, err := s.get(ctx, job.FileKey(workspace, id), &f)

	return f, err
}

// ReadFile writes a file's content to w; it makes one call and one per chunk.
func (s *Store) ReadFile(ctx context.Context, workspace, id string, w io.Writer) error {
	f, err := s.GetFile(ctx, workspace, id)
	if err != nil {
		return err
	}
	for _, c := range f.Chunks {
		data, _, err := s.objects.Get(ctx, job.FileChunkKey(workspace, id, c))
		if err != nil {
			return err
		}
		if _, err := w.Write(data); err != nil {
			return fault.Wrap(err, fault.CodeCancelled, "write the file")
		}
	}

	return nil
}
