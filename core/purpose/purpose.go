package purpose

import "context"

type key struct{}

// With returns a context whose calls serve a purpose. Within a wider purpose that ctx already has, both are named, the wider one first.
func With(ctx context.Context, name string) context.Context {
	if wider := Of(ctx); wider != "" {
		name = wider + "/" + name
	}

	return context.WithValue(ctx, key{}, name)
}

// Of returns the purpose of the calls of a context, empty if none is named.
func Of(ctx context.Context) string {
	name, _ := ctx.Value(key{}).(string)

	return name
}
