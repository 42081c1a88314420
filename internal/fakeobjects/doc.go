// Package fakeobjects is a store of objects by kind and name in memory, whose writes can fail or lose their answers.
package fakeobjects
