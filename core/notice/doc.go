// Package notice tells the feeders of backend servers about online requests that this instance has sent there.
package notice
