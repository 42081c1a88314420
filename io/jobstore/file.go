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

// maxLineBytes bounds one input line. It is below the 1 MB limit of a stored value, because a line is never split over chunks.
const maxLineBytes = 512 << 10

// PutFile checks and stores a JSONL input and returns its metadata; it makes one call per chunk and at most two more.
// The input is buffered in a temporary file, since the keys depend on its content hash.
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
		LineBytes:  maxLineBytes,
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

// storeFile writes the chunks and then the metadata. If the same content is already stored, its existing metadata is
// returned, since it may have been split with other chunk limits.
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
		// An existing chunk comes from another upload of the same content.
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

// GetFile returns a file's metadata; it makes one call.
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
