// Package service is a stand-in for a plain service that counts its calls, with fault injection.
package service
