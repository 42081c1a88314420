// Package subprocess runs a part of a test in a process of its own, which the part may end.
package subprocess
