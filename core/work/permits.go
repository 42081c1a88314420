package work

import "tarragonwalk/core/fault"

// ErrUnknown is the failure of a call on a job that does not exist, or that callers of the workspace may not know of.
var ErrUnknown = fault.New(fault.CodeNotFound, "there is no such job")

// Permits reports whether callers of a workspace may use a job. The name is empty if callers need no key, and the job's is empty if it was
// submitted when they did not.
func Permits(j *Job, workspace string) bool {
	return workspace == "" || j.Workspace == "" || j.Workspace == workspace
}
