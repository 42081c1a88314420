package caller

import (
	"context"
	"fmt"
	"io"
	"path"
	"strings"

	"github.com/gofiber/fiber/v2"

	"tarragonwalk/core/fault"
	"tarragonwalk/core/job"
	"tarragonwalk/io/openai"
)

// outputPrefix precedes the batch ID in the ID of a batch's result file.
const outputPrefix = "output-"

func (s *Server) putFile(c *fiber.Ctx) error {
	if c.FormValue("purpose") != "batch" {
		return invalid("purpose", "must be batch")
	}
	h, err := c.FormFile("file")
	if err != nil {
		return invalid("file", "must be a multipart file")
	}
	if h.Size > int64(s.limits.FileBytes) {
		return fault.New(fault.CodeTooLarge, fmt.Sprintf("a file has at most %d bytes", s.limits.FileBytes))
	}
	name := path.Base(h.Filename)
	if len(name) > nameBytes {
		return invalid("file", "has a name longer than 128 bytes")
	}
	r, err := h.Open()
	if err != nil {
		return fault.Wrap(err, fault.CodeInternal, "read the upload")
	}
	defer r.Close()
	ctx, cancel := context.WithTimeout(s.base, fileTimeout)
	defer cancel()
	f, err := s.store.PutFile(ctx, workspace(c), name, r)
	if err != nil {
		return err
	}

	return c.JSON(fileObject(f))
}

func (s *Server) getFile(c *fiber.Ctx) error {
	ctx, cancel := context.WithTimeout(s.base, storeTimeout)
	defer cancel()
	if id, ok := strings.CutPrefix(c.Params("id"), outputPrefix); ok {
		j, err := s.output(ctx, workspace(c), id)
		if err != nil {
			return err
		}

		return c.JSON(openai.FileObject{
			ID:        outputPrefix + id,
			Object:    "file",
			CreatedAt: int(j.Job.AcceptedAt.Unix()),
			Filename:  outputPrefix + id + ".jsonl",
			Purpose:   "batch_output",
		})
	}
	f, err := s.store.GetFile(ctx, workspace(c), c.Params("id"))
	if err != nil {
		return err
	}

	return c.JSON(fileObject(f))
}

func (s *Server) readFile(c *fiber.Ctx) error {
	ctx, cancel := context.WithTimeout(s.base, storeTimeout)
	defer cancel()
	w := workspace(c)
	if id, ok := strings.CutPrefix(c.Params("id"), outputPrefix); ok {
		if _, err := s.output(ctx, w, id); err != nil {
			return err
		}

		return s.content(c, func(ctx context.Context, o io.Writer) error { return s.store.ReadResults(ctx, w, id, o) })
	}
	id := c.Params("id")
	if _, err := s.store.GetFile(ctx, w, id); err != nil {
		return err
	}

	return s.content(c, func(ctx context.Context, o io.Writer) error { return s.store.ReadFile(ctx, w, id, o) })
}

func (s *Server) output(ctx context.Context, workspace, id string) (job.Status, error) {
	j, err := s.store.GetJob(ctx, workspace, id)
	if err == nil && j.Job.State == job.JobStateOpen {
		err = fault.New(fault.CodeNotFound, "the batch has not ended")
	}

	return j, err
}

// content streams a file; an error after the first byte breaks the connection, so that the caller cannot mistake a partial
// file for a complete one.
func (s *Server) content(c *fiber.Ctx, read func(context.Context, io.Writer) error) error {
	c.Set(fiber.HeaderContentType, "application/jsonl")
	r, w := io.Pipe()
	c.Context().SetBodyStream(r, -1)
	id := requestID(c)
	go func() {
		ctx, cancel := context.WithTimeout(s.base, fileTimeout)
		defer cancel()
		err := read(ctx, w)
		if err != nil {
			s.log.Warn("file transfer failed", "request", id, "error", err)
		}
		_ = w.CloseWithError(err)
	}()

	return nil
}

func fileObject(f job.File) openai.FileObject {
	return openai.FileObject{
		ID:        f.ID,
		Object:    "file",
		Bytes:     f.Bytes,
		CreatedAt: int(f.CreatedAt.Unix()),
		Filename:  f.Name,
		Purpose:   "batch",
	}
}
