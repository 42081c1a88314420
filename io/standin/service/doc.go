// Package service is a stand-in for a backend server that is no model engine. It echoes request bodies, counts its calls
// and injects faults.
package service
