// Package fakeobjects is an in-memory store of objects by kind and name for tests, which can make writes fail or lose
// their answers.
package fakeobjects
