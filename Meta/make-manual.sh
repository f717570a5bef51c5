#!/usr/bin/env bash
# Writes the manual pages, the bash completions and the page of settings from
# the flags and usage text in the sources. The output is committed; --check
# compares it with the sources instead of writing it.
set -euo pipefail
cd "$(dirname "$0")/.."
perl - "${1:-}" <<'PERL'
use strict;
use warnings;

my $check = $ARGV[0] eq '--check';
my $stale = 0;

sub slurp {
    my ($path) = @_;
    open my $in, '<', $path or return '';
    local $/;
    return scalar <$in>;
}

sub put {
    my ($path, $text) = @_;
    if ($check) {
        return if slurp($path) eq $text;
        print "$path: differs from what Meta/make-manual.sh writes\n";
        $stale = 1;
        return;
    }
    open my $out, '>', $path or die "$path: $!\n";
    print $out $text;
}

# The text of adjacent string literals.
sub literal {
    my $out = join '', $_[0] =~ /"((?:[^"\\]|\\.)*)"/g;
    $out =~ s/\\n/\n/g;
    $out =~ s/\\"/"/g;
    return $out;
}

sub flags_of {
    my ($source) = @_;
    my @found;
    my $strings = qr/(?:"(?:[^"\\]|\\.)*"\s*)+/;
    while ($source =~ /ABSL_FLAG\(\s*(.+?),\s*(\w+),\s*(\S+?),\s*($strings)\)/gs)
    {
        my ($type, $name, $value, $text) = ($1, $2, $3, literal($4));
        $value =~ s/^"(.*)"$/$1/;
        $value = '' if $value eq '{}';
        push @found,
            {type => $type, name => $name, value => $value, text => $text};
    }
    die "no flags found\n" unless @found;
    return @found;
}

sub roff {
    my ($text) = @_;
    $text =~ s/\\/\\e/g;
    $text =~ s/-/\\-/g;
    $text =~ s/^([.'])/\\&$1/mg;
    return $text;
}

sub roff_flags {
    my ($prefix, @flags) = @_;
    my $out = '';
    for my $it (@flags) {
        my $default = $it->{value} eq '' ? '' : " Default: $it->{value}.";
        my $variable = $prefix ? " Variable: $prefix" . uc($it->{name}) . '.'
                               : '';
        $out .= ".TP\n.B " . roff("--$it->{name}") . "\n"
            . roff("$it->{text}$default$variable") . "\n";
    }
    return $out;
}

my $settings = slurp('Services/hyssoploft/settings.cpp');
my @daemon = flags_of($settings);
my $main = slurp('Utilities/hyssopctl/main.cpp');
my @ctl = flags_of($main);
my ($usage) = $main =~ /usage =\s*((?:"(?:[^"\\]|\\.)*"\s*)+);/s;
my @commands = map { /^  (\S.*?)  +(\S.*)$/ ? [$1, $2] : () }
    split /\n/, literal($usage);

# The list that gives each flag its variable has to name every flag.
my ($names) = $settings =~ /flag_names\[\] = \{(.*?)\};/s;
my %has_variable = map { $_ => 1 } $names =~ /"(\w+)"/g;
for my $it (@daemon) {
    die "--$it->{name} has no variable\n" unless $has_variable{$it->{name}};
}

put('Services/hyssoploft/hyssoploft.8',
    <<"TEXT" . roff_flags('HYSSOPLOFT_', @daemon) . <<'TEXT');
.\\" Written by Meta/make-manual.sh.
.TH HYSSOPLOFT 8 "" "hyssoploft" "System administration"
.SH NAME
hyssoploft \\- process of one VM of the inference gateway
.SH SYNOPSIS
.B hyssoploft
.RI [ flags ]
.SH DESCRIPTION
Serves callers, upstreams, operators and the other VMs of its fleet. Every
flag can also be set by a variable of the environment; a flag wins.
.SH OPTIONS
TEXT
.SH SIGNALS
SIGTERM and SIGINT end the process in order: it leaves the directory, takes no
new work, finishes what runs and exits with 0.
.SH EXIT STATUS
0 after an orderly end; 1 when it could not start or its storage failed; 2 for
wrong settings, all of which are reported together.
.SH FILES
Secrets are files of mode 0600 with at least 16 bytes.
.SH SEE ALSO
.BR hyssopctl (1)
TEXT

my $commands = join '', map {
    ".TP\n.B " . roff($_->[0]) . "\n" . ucfirst(roff($_->[1])) . ".\n"
} @commands;
put('Utilities/hyssopctl/hyssopctl.1',
    <<"TEXT" . $commands . ".SH OPTIONS\n" . roff_flags('', @ctl) . <<'TEXT');
.\\" Written by Meta/make-manual.sh.
.TH HYSSOPCTL 1 "" "hyssoploft" "User commands"
.SH NAME
hyssopctl \\- command for operators and callers of hyssoploft
.SH SYNOPSIS
.B hyssopctl
.RI [ flags ] " COMMAND"
.SH COMMANDS
TEXT
.SH EXIT STATUS
0 done; 1 no VM answered or the change was refused; 2 wrong arguments or
findings in the file; 3 conflict; 4 diff found differences.
.SH SEE ALSO
.BR hyssoploft (8)
TEXT

sub completion {
    my ($program, $words, @flags) = @_;
    my $names = join ' ', map {
        $_->{type} eq 'bool' ? "--$_->{name}" : "--$_->{name}="
    } @flags;
    my $files = join '|', map { "--$_->{name}" }
        grep { $_->{text} =~ /^(?:File|Directory|Declaration file)/ } @flags;
    return <<"TEXT";
# Written by Meta/make-manual.sh.
_$program() {
    local current=\${COMP_WORDS[COMP_CWORD]} flag=
    # "=" separates words, so a flag's name can be one or two words back.
    if [ "\$current" = = ]; then
        flag=\${COMP_WORDS[COMP_CWORD - 1]}
        current=
    elif [ "\${COMP_WORDS[COMP_CWORD - 1]}" = = ]; then
        flag=\${COMP_WORDS[COMP_CWORD - 2]}
    fi
    case \$flag in
    $files)
        mapfile -t COMPREPLY < <(compgen -f -- "\$current")
        return
        ;;
    --*) return ;;
    esac
    mapfile -t COMPREPLY < <(compgen -W "$words$names" -- "\$current")
    [[ \${COMPREPLY[0]:-} != *= ]] || compopt -o nospace
}
complete -F _$program $program
TEXT
}

my %seen;
my $words = join ' ', grep { !$seen{$_}++ } map { (split ' ', $_->[0])[0] }
    @commands;
put('Services/hyssoploft/hyssoploft.bash-completion',
    completion('hyssoploft', '', @daemon));
put('Utilities/hyssopctl/hyssopctl.bash-completion',
    completion('hyssopctl', "$words ", @ctl));

my $rows = join '', map {
    my $value = $_->{value} eq '' ? '' : "`$_->{value}`";
    "| `--$_->{name}` | `HYSSOPLOFT_" . uc($_->{name})
        . "` | $value | $_->{text} |\n"
} @daemon;
put('docs/operations/settings.md', <<"TEXT" . $rows . <<'TEXT');
# Settings

<!-- Written by Meta/make-manual.sh from Services/hyssoploft/settings.cpp. -->

Every flag of the daemon has a variable; a flag on the command line wins. All
settings are checked at start, and all findings are reported together (exit
code 2).

| flag | variable | default | meaning |
|---|---|---|---|
TEXT

- Required: `--vm`, `--region`, `--data_center`, the three addresses,
  `--fleet_key_file`, `--key_hash_secret_file`, `--operator_token_file`.
- Names have 1 to 64 letters, digits, `-`, `_` or `.`. Addresses are `IP:port`,
  never names. IPv6 addresses are written as `[::1]:7100`.
- A secret file has at least 16 bytes and no access for group and others
  (mode 0600), else the process does not start. Blanks at its ends are cut.
- `--initial_voters` needs `--data_dir` and matters only until the log is
  founded. Give the same list to each founding VM; leave it in place later.
- `--seeds` need not be reachable at the start and may name the VM itself.
- `--hedge_share` is for processes with `--settings`, on the platform. Give the
  same value to all entry VMs. OPERATIONS.md says how to see what it does.
TEXT
exit $stale;
PERL
