# Sourced by the scripts in bin/: sets JAVA_HOME to a JDK of the needed release or newer.
required_release=25

java_release() {
  sed -n 's/^JAVA_VERSION="\([0-9]*\).*/\1/p' "$1/release" 2>/dev/null
}

find_java_home() {
  local candidate release
  for candidate in "${JAVA_HOME:-}" /usr/lib/jvm/*; do
    [ -n "$candidate" ] && [ -x "$candidate/bin/javac" ] || continue
    release=$(java_release "$candidate")
    if [ -n "$release" ] && [ "$release" -ge "$required_release" ]; then
      echo "$candidate"
      return 0
    fi
  done
  return 1
}

if ! JAVA_HOME=$(find_java_home); then
  echo "shallothold needs a JDK of release $required_release or newer;" \
    "none was found in JAVA_HOME or under /usr/lib/jvm" >&2
  exit 2
fi
export JAVA_HOME

# Runs a main class of a module with its class path, replacing the shell.
# Arguments: module, main class, JVM options up to "--", program arguments.
run_module() {
  local module=$1 main_class=$2
  shift 2
  local options=()
  while [ "$1" != "--" ]; do
    options+=("$1")
    shift
  done
  shift
  local target="$root/$module/target"
  if [ ! -d "$target/lib" ]; then
    echo "the module $module is not built; run bin/build first" >&2
    exit 2
  fi
  exec "$JAVA_HOME/bin/java" "${options[@]}" \
    --enable-native-access=ALL-UNNAMED --sun-misc-unsafe-memory-access=allow \
    -cp "$target/shallothold-$module-0.1.0-SNAPSHOT.jar:$target/lib/*" "$main_class" "$@"
}
