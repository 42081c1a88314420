// Package call defines a request that is forwarded as it is, without knowledge of its body.
package call
