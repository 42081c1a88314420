// Program lab runs the cases of the review: the programs of the deploy file as separate processes on loopback addresses, with small
// stand-ins of the platform's store, of workers, of links and of clients. It is a module of its own, so that the project's build,
// linter and tests leave it alone.
package main
